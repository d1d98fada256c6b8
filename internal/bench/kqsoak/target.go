package kqsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
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
	slots            = 6
	serviceTime      = 60 * time.Millisecond
	announceInterval = time.Second // between two announcements, also the timeout of one attempt
	padding          = 3000        // bytes that follow the ID and checksum in an answer
)

// answerTo returns the full answer body of a target to the request.
func answerTo(id string) string {
	return fmt.Sprintf("%s %08x %s", id, crc32.ChecksumIEEE([]byte(id)), strings.Repeat("-", padding))
}

// target is a simulated back end that announces itself and records in the ledger
// which requests it runs.
type target struct {
	id           string
	boot         int64
	ledger       *Ledger
	server       *httptest.Server
	controlAddrs []string     // of control hosts
	slowdown     atomic.Int64 // added service time in percent
	rejects      atomic.Bool
	dropsAnswers atomic.Bool // runs requests but breaks the connection instead of answering
	inFlight     atomic.Int64
	seq          atomic.Uint64
	stop         context.CancelFunc
	done         sync.WaitGroup

	mu    sync.Mutex
	state string
}

func startTarget(id string, ledger *Ledger, controlAddrs []string) *target {
	ctx, stop := context.WithCancel(context.Background())
	t := &target{id: id, boot: time.Now().UnixMilli(), ledger: ledger, controlAddrs: controlAddrs, stop: stop, state: "ready"}
	t.server = httptest.NewServer(t)
	t.done.Go(func() { t.announceLoop(ctx) })
	return t
}

func (t *target) addr() string { return strings.TrimPrefix(t.server.URL, "http://") }

// kill stops the target without announcing that it leaves.
func (t *target) kill() {
	t.stop()
	t.server.CloseClientConnections()
	t.server.Listener.Close()
	t.done.Wait()
}

func (t *target) announceLoop(ctx context.Context) {
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
func (t *target) announce(ctx context.Context) bool {
	t.mu.Lock()
	state := t.state
	t.mu.Unlock()
	p, err := json.Marshal(map[string]any{
		"service": service, "id": t.id, "addr": t.addr(), "domain": domains[int(t.boot)%len(domains)], "slots": slots,
		"state": state, "boot": t.boot, "seq": t.seq.Add(1),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	first := rand.IntN(len(t.controlAddrs))
	for i := range t.controlAddrs {
		if post(ctx, "http://"+t.controlAddrs[(first+i)%len(t.controlAddrs)]+"/v1/targets", p) {
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
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body) // only the status matters
	return res.StatusCode == http.StatusOK
}

// leave announces that the target takes no new requests, and records when this is
// acknowledged.
func (t *target) leave(ctx context.Context) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	if t.announce(ctx) {
		t.ledger.Left(t.id, time.Now())
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := kqproxy.DefaultHeaderNames
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d,%d", t.inFlight.Load(), slots, 100+t.slowdown.Load()))
	if r.URL.Path == "/health" {
		return
	}
	if want := r.Header.Get(names.Target); want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	if t.rejects.Load() || t.inFlight.Load() >= slots {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(names.RequestID)
	t.ledger.Ran(id, t.id, time.Now())
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	time.Sleep(serviceTime * time.Duration(100+t.slowdown.Load()) / 100)
	if t.dropsAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "sealed")
	io.WriteString(w, answerTo(id)) // an error only means that the caller has disconnected
}

// controlAddrs returns the addresses at which control hosts accept announcements.
func (h *hosts) controlAddrs() []string {
	var list []string
	for _, c := range h.Control {
		list = append(list, c.Settings.Listen.Control)
	}
	return list
}
