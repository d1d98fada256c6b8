package kqcaller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqresponse"

	"github.com/cockroachdb/errors"
)

const (
	resolveLimit = 2 * time.Second
	connsPerHost = 4096
)

// Config constructs a Caller.
type Config struct {
	Owner   string
	Service string
	Key     string   // the owner's key, empty if the contract has none
	Entries []string // calls addresses of some entry hosts, to ask
}

// Caller makes the calls of one owner to one service.
type Caller struct {
	cfg  Config
	http *http.Client

	mu    sync.Mutex
	addrs []string
	until time.Time
	next  int
}

// New returns a Caller.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, http: &http.Client{Transport: kqresponse.Transport{Base: &http.Transport{
		MaxIdleConnsPerHost: connsPerHost, MaxIdleConns: connsPerHost, DisableCompression: true,
	}}}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.http.CloseIdleConnections()
}

// Call is one request.
type Call struct {
	Method string
	Path   string
	Body   []byte
	Header http.Header
	Entry  string // calls address to use, empty: by the resolve answer
}

// Answer is what came back whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Entry  string
}

// Run returns what the system itself said of the call: "no", "unknown", or
// empty for an answer of a target.
func (a Answer) Run() string {
	return a.Header.Get(kqheader.Run)
}

// Do makes one call through one entry host.
func (c *Caller) Do(ctx context.Context, call Call) (Answer, error) {
	entry := call.Entry
	if entry == "" {
		var err error
		if entry, err = c.entry(ctx); err != nil {
			return Answer{}, err
		}
	}
	a, err := c.once(ctx, entry, call)
	if err != nil {
		c.forget(entry)
	}
	return a, err
}

func (c *Caller) once(ctx context.Context, entry string, call Call) (Answer, error) {
	a := Answer{Entry: entry}
	var body io.Reader
	if len(call.Body) > 0 {
		body = &onceReader{strings.NewReader(string(call.Body))}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, body)
	if err != nil {
		return a, err
	}
	req.ContentLength = int64(len(call.Body))
	for k, v := range call.Header {
		req.Header[k] = v
	}
	req.Header.Set(kqheader.Owner, c.cfg.Owner)
	req.Header.Set(kqheader.Service, c.cfg.Service)
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return a, errors.Wrapf(err, "call through %s", entry)
	}
	defer res.Body.Close()
	a.Status, a.Header = res.StatusCode, res.Header
	a.Body, err = io.ReadAll(http.MaxBytesReader(nil, res.Body, maxAnswerBytes))
	return a, errors.Wrapf(err, "answer through %s", entry)
}

const (
	maxAnswerBytes     = 64 << 20 // a target may send without end
	maxResolutionBytes = 1 << 20
)

// onceReader hides the type of the body, so that the client library cannot
// send it a second time on its own.
type onceReader struct{ io.Reader }

// resolution is the answer to a resolve request.
type resolution struct {
	Entries []struct {
		Addr string `json:"addr"`
	} `json:"entries"`
	Hold string `json:"hold"`
}

// entry returns the next address of the kept answer, asking anew when it is old.
func (c *Caller) entry(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 || time.Now().After(c.until) {
		if err := c.resolve(ctx); err != nil && len(c.addrs) == 0 {
			return "", err
		}
	}
	c.next++
	return c.addrs[c.next%len(c.addrs)], nil
}

func (c *Caller) resolve(ctx context.Context) error {
	err := errors.New("no entry host to ask")
	first := rand.IntN(max(1, len(c.cfg.Entries)))
	for i := range c.cfg.Entries {
		if err = c.ask(ctx, c.cfg.Entries[(first+i)%len(c.cfg.Entries)]); err == nil {
			return nil
		}
	}
	c.until = time.Now().Add(time.Second)
	return err
}

func (c *Caller) ask(ctx context.Context, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, resolveLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries?service="+c.cfg.Service, nil)
	if err != nil {
		return err
	}
	req.Header.Set(kqheader.Owner, c.cfg.Owner)
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var r resolution
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResolutionBytes)).Decode(&r); err != nil {
		return errors.Wrapf(err, "resolve at %s", entry)
	}
	hold, err := time.ParseDuration(r.Hold)
	if err != nil || len(r.Entries) == 0 {
		return errors.Newf("resolve at %s: status %d, no entries", entry, res.StatusCode)
	}
	c.addrs = c.addrs[:0]
	for _, e := range r.Entries {
		c.addrs = append(c.addrs, e.Addr)
	}
	c.until = time.Now().Add(hold)
	return nil
}

// forget leaves out an entry host that did not answer, until the next resolve.
func (c *Caller) forget(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) < 2 {
		return
	}
	for i, a := range c.addrs {
		if a == entry {
			c.addrs = append(c.addrs[:i:i], c.addrs[i+1:]...)
			return
		}
	}
}

// Resolve asks for the entry hosts and returns their addresses.
func (c *Caller) Resolve(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.resolve(ctx)
	return append([]string(nil), c.addrs...), err
}
