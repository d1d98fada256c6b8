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
}

// Target is a simulated back end that announces itself and records in the ledger
// which requests it runs.
type Target struct {
	cfg          TargetConfig
	boot         int64
	server       *httptest.Server
	slowdown     atomic.Int64 // added service time in percent
	rejects      atomic.Bool
	dropsAnswers atomic.Bool // runs requests but breaks the connection instead of answering
	inFlight     atomic.Int64
	seq          atomic.Uint64
	stop         context.CancelFunc // ends the announcements
	done         sync.WaitGroup

	mu    sync.Mutex
	state string
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
	t := &Target{cfg: cfg, boot: time.Now().UnixMilli(), stop: stop, state: "ready"}
	t.server = httptest.NewServer(t)
	t.done.Go(func() { t.announceLoop(ctx) })
	return t
}

// domain returns the target's failure domain. It depends on the ID, as targets that start at
// the same moment would otherwise all be in one.
func (t *Target) domain() string {
	return domains[int(crc32.ChecksumIEEE([]byte(t.cfg.ID)))%len(domains)]
}

func (t *Target) addr() string { return strings.TrimPrefix(t.server.URL, "http://") }

// Kill stops the target without announcing that it leaves.
func (t *Target) Kill() {
	t.stop()
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
	p, err := json.Marshal(map[string]any{
		"service": service, "id": t.cfg.ID, "addr": t.addr(), "domain": t.domain(), "slots": t.cfg.Slots,
		"state": state, "boot": t.boot, "seq": t.seq.Add(1),
	})
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
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d,%d", t.inFlight.Load(), t.cfg.Slots, 100+t.slowdown.Load()))
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(names.RequestID)
	t.cfg.Ledger.Arrived(id, t.domain(), time.Now())
	w.Header().Set(names.RequestID, id)
	if want := r.Header.Get(names.Target); want != t.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	if t.rejects.Load() || int(t.inFlight.Load()) >= t.cfg.Slots {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.cfg.Ledger.Ran(id, t.cfg.ID, time.Now())
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	time.Sleep(t.workOn(id))
	if t.dropsAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Seal, "sealed")
	io.WriteString(w, answerTo(id)) // an error only means that the caller has disconnected
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
