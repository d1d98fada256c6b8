package kqtarget

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/bench/kqwire"
	"kumquatglade/internal/route/kqdirectory"
)

// ProbeCost is how long a probe holds a slot.
const ProbeCost = 6 * time.Millisecond

// Fault is how a target misbehaves.
type Fault string

// Faults.
const (
	NoFault   Fault = ""
	FailFast  Fault = "failfast"  // refuses all at once and reports no load
	FailRan   Fault = "failran"   // answers 500 at once
	Silent    Fault = "silent"    // takes calls and never answers
	DieInside Fault = "dieinside" // breaks the connection inside its answer
)

// Config constructs a Target.
type Config struct {
	Service     string
	ID          string
	Addr        string // IP:port to listen on, port 0 for any
	Domain      string
	Slots       int
	Connections int
	Queue       int           // calls that wait for a slot before it sheds
	Mean        time.Duration // mean service time
	Cold        int           // calls after a start that take ColdFactor times as long
	ColdFactor  float64
	Epoch       uint64
	Entries     []string // calls addresses of entry hosts to announce to
	Wire        bool     // connections pass through a Wire that can go silent
}

// Stats counts what reached a target.
type Stats struct {
	Runs      int64         `json:"runs"` // calls that ran
	Shed      int64         `json:"shed"`
	Cancelled int64         `json:"cancelled"` // given up by the other end while running
	Probes    int64         `json:"probes"`
	ProbeTime time.Duration `json:"probeTime"` // slot time spent on probes
	BusyTime  time.Duration `json:"busyTime"`  // slot time spent on calls
	LastNew   time.Time     `json:"lastNew"`   // newest call taken
}

// Target is one running stand-in.
type Target struct {
	cfg      Config
	addr     string // as announced
	wire     *kqwire.Proxy
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	busy     atomic.Int64
	started  atomic.Int64
	slow     atomic.Int64 // percent of the service time, 100 is normal
	fault    atomic.Value // Fault
	state    atomic.Value // kqdirectory.State
	announce *announcer
	stop     context.CancelFunc
	wait     sync.WaitGroup

	mu    sync.Mutex
	stats Stats
	keys  map[string]int // runs by idempotency key
	secs  map[int64]int  // probes by second
	tens  map[int64]int  // runs by tenth of a second
}

// Start listens, serves and announces.
func Start(cfg Config) (*Target, error) {
	l, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, err
	}
	if cfg.Epoch == 0 {
		cfg.Epoch = uint64(time.Now().UnixNano())
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Target{
		cfg: cfg, addr: l.Addr().String(), slots: make(chan struct{}, cfg.Slots), stop: stop,
		keys: map[string]int{}, secs: map[int64]int{}, tens: map[int64]int{},
	}
	if cfg.Wire {
		if t.wire, err = kqwire.Start(t.addr); err != nil {
			return nil, err
		}
		t.addr = t.wire.Addr()
	}
	t.slow.Store(100)
	t.fault.Store(NoFault)
	t.state.Store(kqdirectory.Ready)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	t.wait.Go(func() { t.server.Serve(l) }) // Close ends it
	if len(cfg.Entries) > 0 {
		t.announce = newAnnouncer(t, cfg.Entries)
		t.wait.Go(func() { t.announce.run(ctx) })
	}
	return t, nil
}

// Addr returns the IP:port that the target serves.
func (t *Target) Addr() string {
	return t.addr
}

// ID returns the target's name.
func (t *Target) ID() string {
	return t.cfg.ID
}

// Slow makes every call take so many times as long.
func (t *Target) Slow(factor float64) {
	t.slow.Store(int64(factor * 100))
}

// Fail makes the target misbehave from now on.
func (t *Target) Fail(f Fault) {
	t.fault.Store(f)
}

// Silence lets the open connections of a target with a Wire go silent.
func (t *Target) Silence() {
	if t.wire != nil {
		t.wire.Silence()
	}
}

// Drain announces that no new calls should come; running ones go on.
func (t *Target) Drain() {
	t.state.Store(kqdirectory.Draining)
	if t.announce != nil {
		t.announce.now()
	}
}

// Kill ends the target without a word.
func (t *Target) Kill() {
	t.stop()
	t.server.Close()
	if t.wire != nil {
		t.wire.Close()
	}
	t.wait.Wait()
}

// Stats returns a copy of the counts.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Keys returns how often the call of each idempotency key ran.
func (t *Target) Keys() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.keys)
}

// RunsByTenth returns the calls that began in each tenth of a second of Unix time.
func (t *Target) RunsByTenth() map[int64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.tens)
}

// ProbesBySecond returns the probes taken in each second of Unix time.
func (t *Target) ProbesBySecond() map[int64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.secs)
}

// serviceTime draws how long one call takes: half fixed, half exponential.
func (t *Target) serviceTime() time.Duration {
	mean := float64(t.cfg.Mean) * float64(t.slow.Load()) / 100
	if t.started.Load() <= int64(t.cfg.Cold) {
		mean *= t.cfg.ColdFactor
	}
	return time.Duration(mean/2 + rand.ExpFloat64()*mean/2)
}
