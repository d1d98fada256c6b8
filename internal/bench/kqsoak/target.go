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
	service      = "kekhai"
	slots        = 6
	workTime     = 60 * time.Millisecond
	announceTime = time.Second // between two announcements, and for one try
	padding      = 3000        // bytes of an answer behind the request's ID
)

// answerTo is the whole answer of a target to a request.
func answerTo(id string) string {
	return fmt.Sprintf("%s %08x %s", id, crc32.ChecksumIEEE([]byte(id)), strings.Repeat("-", padding))
}

// target is a stand-in that announces itself and tells the ledger what it runs.
type target struct {
	id     string
	boot   int64
	ledger *Ledger
	server *httptest.Server
	doors  []string // of control hosts
	slow   atomic.Int64
	shed   atomic.Bool
	loses  atomic.Bool // answers, after it ran the requests
	busy   atomic.Int64
	seq    atomic.Uint64
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	state string
}

func startTarget(id string, ledger *Ledger, doors []string) *target {
	ctx, stop := context.WithCancel(context.Background())
	t := &target{id: id, boot: time.Now().UnixMilli(), ledger: ledger, doors: doors, stop: stop, state: "ready"}
	t.server = httptest.NewServer(t)
	t.done.Go(func() { t.renew(ctx) })
	return t
}

func (t *target) addr() string { return strings.TrimPrefix(t.server.URL, "http://") }

// kill ends the target without a word.
func (t *target) kill() {
	t.stop()
	t.server.CloseClientConnections()
	t.server.Listener.Close()
	t.done.Wait()
}

func (t *target) renew(ctx context.Context) {
	for ctx.Err() == nil {
		t.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(announceTime):
		}
	}
}

// announce tells one control host after the other until one acknowledges.
func (t *target) announce(ctx context.Context) bool {
	t.mu.Lock()
	state := t.state
	t.mu.Unlock()
	p, err := json.Marshal(map[string]any{
		"service": service, "id": t.id, "addr": t.addr(), "domain": domains[int(t.boot)%len(domains)], "slots": slots,
		"state": state, "boot": t.boot, "seq": t.seq.Add(1),
	})
	if err != nil {
		panic(err) // plain values
	}
	first := rand.IntN(len(t.doors))
	for i := range t.doors {
		if post(ctx, "http://"+t.doors[(first+i)%len(t.doors)]+"/v1/targets", p) {
			return true
		}
	}
	return false
}

func post(ctx context.Context, url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
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
	io.Copy(io.Discard, res.Body) // the status alone counts
	return res.StatusCode == http.StatusOK
}

// leave announces that no new work should come, and notes the acknowledgement.
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
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d,%d", t.busy.Load(), slots, 100+t.slow.Load()))
	if r.URL.Path == "/health" {
		return
	}
	if want := r.Header.Get(names.Target); want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it never was whole: it does not run
	}
	if t.shed.Load() || t.busy.Load() >= slots {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(names.RequestID)
	t.ledger.Ran(id, t.id, time.Now())
	t.busy.Add(1)
	defer t.busy.Add(-1)
	time.Sleep(workTime * time.Duration(100+t.slow.Load()) / 100)
	if t.loses.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "sealed")
	io.WriteString(w, answerTo(id)) // the caller may have gone
}

// doorsOf returns the addresses at which control hosts take announcements.
func (h *hosts) doorsOf() []string {
	var list []string
	for _, c := range h.Control {
		list = append(list, c.Settings.Listen.Control)
	}
	return list
}
