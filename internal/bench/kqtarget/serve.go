package kqtarget

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/route/kqdirectory"
)

// HeaderTarget names the target on its answers.
const HeaderTarget = "X-Target"

// probeAnswer is the answer to a probe.
type probeAnswer struct {
	Load  int               `json:"load"`
	Slots int               `json:"slots"`
	State kqdirectory.State `json:"state"`
}

// ServeHTTP serves one call or probe.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderTarget, t.cfg.ID)
	switch t.fault.Load().(Fault) {
	case FailFast:
		w.Header().Set(kqheader.Load, fmt.Sprintf("0/%d", t.cfg.Slots))
		w.Header().Set(kqheader.Run, kqheader.RunNo)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FailRan:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/v1/probe" {
		t.probe(w, r)
		return
	}
	t.call(w, r)
}

func (t *Target) probe(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	t.mu.Lock()
	t.stats.Probes++
	t.stats.ProbeTime += ProbeCost
	t.secs[now.Unix()]++
	t.mu.Unlock()
	if !t.acquire(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(ProbeCost)
	t.release()
	json.NewEncoder(w).Encode(probeAnswer{int(t.busy.Load()), t.cfg.Slots, t.state.Load().(kqdirectory.State)}) // the other end is gone
}

// acquire waits for a slot; false says that the queue is full or ctx ended.
func (t *Target) acquire(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		t.busy.Add(1)
		return true
	default:
	}
	if t.waiting.Add(1) > int64(t.cfg.Queue) {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.busy.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) release() {
	t.busy.Add(-1)
	<-t.slots
}

// load is what the target says of itself: busy slots and waiting calls.
func (t *Target) load() string {
	return strconv.FormatInt(t.busy.Load()+t.waiting.Load(), 10) + "/" + strconv.Itoa(t.cfg.Slots)
}

const maxBodyBytes = 64 << 20 // the largest body of a contract

func (t *Target) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if !t.acquire(r.Context()) {
		if r.Context().Err() == nil {
			t.shed(w)
		}
		return
	}
	defer t.release()
	t.ran(r.Header.Get(kqheader.IdempotencyKey))
	if t.fault.Load().(Fault) == Silent {
		<-r.Context().Done()
		return
	}
	if !t.work(r.Context()) {
		return
	}
	t.answer(w, body)
}

func (t *Target) shed(w http.ResponseWriter) {
	t.mu.Lock()
	t.stats.Shed++
	t.mu.Unlock()
	w.Header().Set(kqheader.Load, t.load())
	w.Header().Set(kqheader.Run, kqheader.RunNo)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) ran(key string) {
	t.started.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Runs++
	t.stats.LastNew = time.Now()
	t.tens[time.Now().UnixMilli()/100]++
	if key != "" {
		t.keys[key]++
	}
}

// work holds the slot for the service time; false says the call was cancelled.
func (t *Target) work(ctx context.Context) bool {
	d := t.serviceTime()
	began := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	done := true
	select {
	case <-timer.C:
	case <-ctx.Done():
		done = false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.BusyTime += time.Since(began)
	if !done {
		t.stats.Cancelled++
	}
	return done
}

// answer echoes the body.
func (t *Target) answer(w http.ResponseWriter, body []byte) {
	w.Header().Set(kqheader.Load, t.load())
	if t.fault.Load().(Fault) == DieInside {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+100))
		w.Write(body) // breaks anyhow
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body) // the other end is gone
}
