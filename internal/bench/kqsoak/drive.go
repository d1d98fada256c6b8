package kqsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"kumquatglade/internal/call/kqproxy"
)

const (
	siteHost    = "rent.example"
	callLimit   = 3 * time.Second
	operateTime = 2 * time.Second // for one try of an operator
	operatePace = 700 * time.Millisecond
	uploadSize  = 64 << 10 // bytes
)

// kinds of requests, by the prefix of their route.
var kinds = []struct {
	prefix string
	kind   string
	method string
	size   int
	once   bool
}{
	{"/read/", "safe", http.MethodGet, 0, false},
	{"/file/", "unsafe", http.MethodPost, 300, true},
	{"/ledger/", "upload", http.MethodPost, uploadSize, true},
}

// callers sends requests at a rate to entry hosts at random.
type callers struct {
	ledger *Ledger
	client *http.Client
	addrs  []string
	next   atomic.Uint64
}

func newCallers(ledger *Ledger, addrs []string) *callers {
	return &callers{ledger: ledger, addrs: addrs, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

func (c *callers) run(ctx context.Context, rate float64) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			go c.one(ctx, c.addrs[rand.IntN(len(c.addrs))])
		}
	}
}

// one sends one request and reports whether it succeeded.
func (c *callers) one(ctx context.Context, addr string) bool {
	k := kinds[rand.IntN(len(kinds))]
	id := fmt.Sprintf("r%d", c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
	defer cancel()
	// The type of the body keeps the client library from sending it again by itself.
	body := io.MultiReader(strings.NewReader(strings.Repeat("7", k.size)))
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+addr+k.prefix+id, body)
	if err != nil {
		return false
	}
	req.Host, req.ContentLength = siteHost, int64(k.size)
	if k.size == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(kqproxy.DefaultHeaderNames.RequestID, id)
	req.Header.Set(kqproxy.DefaultHeaderNames.Deadline, fmt.Sprint(callLimit.Milliseconds()))
	c.ledger.Sent(id, k.once)
	res, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	own := res.Header.Get(kqproxy.DefaultHeaderNames.RequestID) == id && res.Header.Get(kqproxy.DefaultHeaderNames.Seal) != "" && string(p) == answerTo(id)
	c.ledger.Answered(id, res.StatusCode, err == nil, own)
	return err == nil && res.StatusCode == http.StatusOK
}

// operator changes the routes again and again, and reads them back.
type operator struct {
	ledger  *Ledger
	control []string // admin addresses
	version atomic.Uint64
}

// routes returns a document that shows its version by a route.
func routes(version uint64) []byte {
	type route struct {
		Name      string `json:"name"`
		Prefix    string `json:"prefix"`
		Service   string `json:"service"`
		Kind      string `json:"kind"`
		Attempts  int    `json:"attempts"`
		Timeout   string `json:"timeout"`
		Objective string `json:"objective"`
	}
	list := []route{{"version", versionPrefix(version), service, "safe", 2, "2s", "300ms"}}
	for _, k := range kinds {
		list = append(list, route{strings.Trim(k.prefix, "/"), k.prefix, service, k.kind, 2, "2s", "300ms"})
	}
	p, err := json.Marshal(map[string]any{
		"version": version, "limits": struct{}{},
		"services": []any{map[string]any{"name": service, "health": "/health", "connections": 400}},
		"hosts":    []any{map[string]any{"name": siteHost, "routes": list}},
	})
	if err != nil {
		panic(err) // plain values
	}
	return p
}

func versionPrefix(v uint64) string { return fmt.Sprintf("/v%d/", v) }

func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		v := o.version.Add(1 + rand.Uint64N(3))
		go o.apply(ctx, v)
		if rand.IntN(4) == 0 { // a second operator, at the same time
			go o.apply(ctx, o.version.Add(1))
		}
		o.read(ctx, o.control[rand.IntN(len(o.control))])
		select {
		case <-ctx.Done():
		case <-time.After(operatePace):
		}
	}
}

// apply sends one version to one control host after the other until one
// acknowledges it, as an operator does whose answers get lost.
func (o *operator) apply(ctx context.Context, v uint64) bool {
	doc := routes(v)
	first := rand.IntN(len(o.control))
	for i := range 3 * len(o.control) {
		status, _ := o.do(ctx, http.MethodPut, o.control[(first+i)%len(o.control)], doc)
		if status == http.StatusOK {
			o.ledger.Accepted(v, time.Now())
			return true
		}
		if status/100 == 4 {
			o.ledger.Missed("routes %d were refused: %d", v, status)
			return false
		}
	}
	return false
}

// read asks one control host for the routes in force; no answer breaks no promise.
func (o *operator) read(ctx context.Context, addr string) (uint64, bool) {
	asked := time.Now()
	status, p := o.do(ctx, http.MethodGet, addr, nil)
	var doc struct {
		Version uint64 `json:"version"`
	}
	if status != http.StatusOK {
		return 0, false
	}
	if err := json.Unmarshal(p, &doc); err != nil || !bytes.Equal(p, routes(doc.Version)) {
		o.ledger.Missed("%s shows routes that nobody sent: %.80s", addr, p)
		return 0, false
	}
	o.ledger.Read(addr, doc.Version, asked)
	return doc.Version, true
}

func (o *operator) do(ctx context.Context, method, addr string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, operateTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/v1/routes", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	if answer, err = io.ReadAll(res.Body); err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}
