package kqsoak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/call/kqproxy"
)

const (
	service          = "kekhai"
	defaultSlots     = 6
	serviceTime      = 60 * time.Millisecond
	announceInterval = time.Second // between two announcements, also the timeout of one attempt
	padding          = 3000        // bytes that follow the ID and checksum in an answer
	largePadding     = 600 << 10
	slowWork         = 2 * lossSlack   // behind which a dropped request counts as lost
	maxLargeWork     = 2 * serviceTime // for a large answer, which needs time to be read
)

// answerTo returns the full answer body of a target to the request.
func answerTo(id string) string {
	n := padding
	if isLarge(id) {
		n = largePadding
	}
	return fmt.Sprintf("%s %08x %s", id, crc32.ChecksumIEEE([]byte(id)), strings.Repeat("-", n))
}

func isLarge(id string) bool { return strings.HasSuffix(id, largeMark) }

// TargetConfig configures a Target.
type TargetConfig struct {
	ID           string
	Ledger       *Ledger
	ControlAddrs []string             // at which control hosts accept announcements
	Slots        int                  // requests at a time, defaultSlots if 0
	Work         func() time.Duration // time that a request takes, serviceTime if nil

	// For targets of a scarce run.
	Domain  string        // failure domain, drawn if empty
	Queue   int           // requests that wait for a slot
	Hangs   bool          // never answers a request that it cannot queue, instead of a refusal
	Cold    time.Duration // for which it is cold after its start
	Proxied bool          // announces the address of a Proxy
}

// Target is a simulated back end that announces itself and records in the ledger
// which requests it runs.
type Target struct {
	cfg          TargetConfig
	boot         int64
	server       *httptest.Server
	slowdown     atomic.Int64 // added service time in percent
	rejects      atomic.Bool
	quiet        atomic.Bool // asks for quiet instead of running requests
	link         *Proxy      // nil if its address is its own
	slots        chan struct{}
	dropsAnswers atomic.Bool // runs requests but breaks the connection, or its answer
	inFlight     atomic.Int64
	seq          atomic.Uint64
	stop         context.CancelFunc // ends the announcements
	done         sync.WaitGroup

	mu     sync.Mutex
	state  string
	cold   time.Time // until when it is cold
	judged time.Time // from when hosts must know of it
}

// StartTarget starts a target that announces itself until Kill.
func StartTarget(cfg TargetConfig) *Target {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Work == nil {
		cfg.Work = func() time.Duration { return serviceTime }
	}
	ctx, stop := context.WithCancel(context.Background())
	now := time.Now()
	t := &Target{cfg: cfg, boot: now.UnixMilli(), stop: stop, state: "ready", slots: make(chan struct{}, cfg.Slots), cold: now.Add(cfg.Cold)}
	t.server = httptest.NewServer(t)
	if cfg.Proxied {
		p, err := StartProxy(t.addr())
		if err != nil {
			panic(err) // as httptest does if it cannot listen
		}
		t.link = p
	}
	t.done.Go(func() { t.announceLoop(ctx) })
	return t
}

// domain returns the target's failure domain. It depends on the ID, as targets that start at
// the same moment would otherwise all be in one.
func (t *Target) domain() string {
	return cmp.Or(t.cfg.Domain, domains[int(crc32.ChecksumIEEE([]byte(t.cfg.ID)))%len(domains)])
}

func (t *Target) addr() string {
	if t.link != nil {
		return t.link.Addr()
	}
	return strings.TrimPrefix(t.server.URL, "http://")
}

// cools makes the target cold again, which it says from now on.
func (t *Target) cools(now time.Time, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold, t.judged = now.Add(d), now.Add(learnTime)
}

// coldFor returns for how long the target stays cold, and whether hosts must know by now.
func (t *Target) coldFor(now time.Time) (d time.Duration, judged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d = max(t.cold.Sub(now), 0)
	return d, d > 0 && !now.Before(t.judged)
}

// Kill stops the target without announcing that it leaves.
func (t *Target) Kill() {
	t.stop()
	if t.link != nil {
		t.link.Close()
	}
	t.server.CloseClientConnections()
	t.server.Listener.Close()
	t.done.Wait()
}

func (t *Target) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// announce sends the target's state to the control hosts in turn until one
// acknowledges it, and reports whether one did.
func (t *Target) announce(ctx context.Context) bool {
	t.mu.Lock()
	state := t.state
	t.mu.Unlock()
	a := map[string]any{
		"service": service, "id": t.cfg.ID, "addr": t.addr(), "domain": t.domain(), "slots": t.cfg.Slots,
		"state": state, "boot": t.boot, "seq": t.seq.Add(1),
	}
	if d, _ := t.coldFor(time.Now()); d > 0 {
		a["cold"] = d.String()
	}
	p, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	addrs := t.cfg.ControlAddrs
	first := rand.IntN(len(addrs))
	for i := range addrs {
		if post(ctx, "http://"+addrs[(first+i)%len(addrs)]+"/v1/targets", p) {
			return true
		}
	}
	return false
}

func post(ctx context.Context, url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := strictClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body) // only the status matters
	return res.StatusCode == http.StatusOK
}

// leave announces that the target takes no new requests, and records when this is
// acknowledged.
func (t *Target) leave(ctx context.Context) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	if t.announce(ctx) {
		t.cfg.Ledger.Left(t.cfg.ID, time.Now())
	}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := kqproxy.DefaultHeaderNames
	running, now := int(t.inFlight.Load()), time.Now()
	w.Header().Set(names.Load, fmt.Sprintf("%d,%d,%d,%d", min(running, t.cfg.Slots), max(running-t.cfg.Slots, 0), t.cfg.Slots, 100+t.slowdown.Load()))
	cold, judged := t.coldFor(now)
	if t.leaves() {
		w.Header().Set(names.Leaving, "1")
	}
	if r.URL.Path == "/health" {
		if cold > 0 {
			w.Header().Set(names.Cold, fmt.Sprint(cold.Milliseconds()))
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	t.cfg.Ledger.Received(Arrival{
		ID: id, Target: t.cfg.ID, Domain: t.domain(), Owner: r.Header.Get(names.Owner), Key: r.Header.Get("Authorization"),
		Cold: judged && r.Header.Get(names.Target) == t.cfg.ID, Late: t.link != nil && t.link.Late(now), At: now,
	})
	w.Header().Set(names.RequestID, id)
	if want := r.Header.Get(names.Target); want != t.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	defer t.inFlight.Add(-1)
	full := int(t.inFlight.Add(1)) > t.cfg.Slots+t.cfg.Queue
	switch quiet := t.quiet.Load(); {
	case t.rejects.Load(), quiet, full && !t.cfg.Hangs:
		if quiet {
			w.Header().Set("Retry-After", "1")
		}
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case full:
		t.hang(r)
	}
	t.cfg.Ledger.Ran(id, t.cfg.ID, time.Now())
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	time.Sleep(t.workOn(id))
	if t.dropsAnswers.Load() {
		t.breakAnswer(w, id)
		return
	}
	w.Header().Set(names.Seal, "sealed")
	io.WriteString(w, answerTo(id)) // an error only means that the caller has disconnected
}

// breakAnswer writes nothing, or something that is no response or no complete one, and closes
// the connection.
func (t *Target) breakAnswer(w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	names, answer := kqproxy.DefaultHeaderNames, answerTo(id)
	own := fmt.Sprintf("%s: %s\r\n%s: sealed\r\n", names.RequestID, id, names.Seal)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(answer))
	broken := []string{
		"",
		"HTTP/1.1 200 OK\r\n" + own + length + answer[:len(answer)/2],
		"HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + own + "Content-Length: 4\r\n\r\nnone",
		"HTTP/1.1 200 OK\r\nX Own: 1\r\n" + own + length + answer,
	}
	if t.link == nil { // a Proxy ends in order what is reset, which completes a response without length
		broken = append(broken, "HTTP/1.1 200 OK\r\n"+own+"\r\n"+answer[:len(answer)/2])
	}
	io.WriteString(c, broken[rand.IntN(len(broken))]) // an error only means that the caller has disconnected
	if conn, ok := c.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // a reset, or the close would complete a response without length
	}
}

// leaves reports whether the target says in its answers that it leaves, as those behind a
// Proxy do.
func (t *Target) leaves() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.link != nil && t.state != "ready"
}

// hang answers nothing on the connection until its other side closes it.
func (t *Target) hang(r *http.Request) {
	t.cfg.Ledger.Hung()
	t.inFlight.Add(-1) // it is no part of the target's load
	<-r.Context().Done()
	t.inFlight.Add(1)
	panic(http.ErrAbortHandler)
}

// workOn returns how long the target works on the request.
func (t *Target) workOn(id string) time.Duration {
	work := t.cfg.Work() * time.Duration(100+t.slowdown.Load()) / 100
	switch {
	case isLarge(id):
		return min(work, maxLargeWork)
	case strings.HasSuffix(id, slowMark):
		return max(work, slowWork)
	}
	return work
}

// controlAddrs returns the addresses at which control hosts accept announcements.
func (h *hosts) controlAddrs() []string {
	var list []string
	for _, c := range h.Control {
		list = append(list, c.Settings.Listen.Control)
	}
	return list
}
