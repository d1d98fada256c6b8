package kqcall

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/call/kqkeyed"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/state/kqfeed"

	"github.com/rcrowley/go-metrics"
)

// effectRoom is more effects than one call can be given.
const effectRoom = 32

// Config constructs an Engine.
type Config struct {
	Host    string
	Policy  func() kq.Policy // a new policy for each service
	Plain   bool             // see kqdispatch.Config
	Clock   kq.Clock
	Rand    *rand.Rand
	Events  *kqevent.Recorder
	Metrics metrics.Registry
	Keeper  *kqkeyed.Keeper // claims keys, nil without guards
	// Part returns the part of an owner's limits on a service that this host
	// may use now.
	Part func(owner, service string) float64
	// View returns the view to act on, nil if this host must not serve.
	View func() *kqfeed.View
}

// Engine runs the dispatch reducer and the calls in progress.
type Engine struct {
	cfg      Config
	started  int64 // Unix nanoseconds, tells the calls of two starts apart
	pool     *kqforward.Pool
	book     *kqaccount.Book
	calls    atomic.Int64
	entries  atomic.Int64 // entry hosts that share the targets' connections
	stopping atomic.Bool
	view     atomic.Pointer[kqfeed.View] // whose limits act here
	busy     chan struct{}
	done     chan struct{}
	wait     sync.WaitGroup
	served   metrics.Timer
	refused  metrics.Counter

	mu       sync.Mutex
	dispatch *kqdispatch.Dispatch
	waiting  map[uint64]chan kqdispatch.Effect
	nextID   uint64
}

// NewEngine returns a running Engine.
func NewEngine(cfg Config) *Engine {
	e := &Engine{
		cfg: cfg, started: cfg.Clock.Now().UnixNano(), pool: kqforward.NewPool(), book: kqaccount.NewBook(cfg.Clock.Now),
		busy: make(chan struct{}, 1), done: make(chan struct{}),
		served:   metrics.GetOrRegisterTimer("calls.served", cfg.Metrics),
		refused:  metrics.GetOrRegisterCounter("calls.refused", cfg.Metrics),
		waiting:  map[uint64]chan kqdispatch.Effect{},
		dispatch: kqdispatch.New(kqdispatch.Config{Policy: cfg.Policy, PolicyOnly: cfg.Plain, Rand: cfg.Rand}),
	}
	e.entries.Store(1)
	e.wait.Add(2)
	go e.tick()
	go e.sweep()
	return e
}

// Close stops the engine's own work; calls in progress go on.
func (e *Engine) Close() {
	close(e.done)
	e.wait.Wait()
	e.pool.Close()
}

// Book returns the owners' accounts.
func (e *Engine) Book() *kqaccount.Book {
	return e.book
}

// Calls returns the calls in progress.
func (e *Engine) Calls() int64 {
	return e.calls.Load()
}

// Stop makes the engine tell its callers to go elsewhere: new calls are still
// served, but connections are closed behind them.
func (e *Engine) Stop() {
	e.stopping.Store(true)
}

// Feed gives the reducer one event and hands its effects to the calls.
func (e *Engine) Feed(ev kqdispatch.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, eff := range e.dispatch.Reduce(e.cfg.Clock.Now(), ev) {
		e.hand(eff)
	}
}

func (e *Engine) hand(eff kqdispatch.Effect) {
	if ej, ok := eff.(kqdispatch.TargetEjected); ok {
		e.ejected(ej)
		return
	}
	if ch := e.waiting[eff.Call()]; ch != nil {
		ch <- eff // has room for all effects of one call
	}
}

func (e *Engine) ejected(ej kqdispatch.TargetEjected) {
	e.cfg.Events.Add(kqevent.Event{
		Part: "dispatch", Kind: "ejected", Owner: ej.Owner, Service: ej.Target.Service, Target: ej.Target.ID,
		Text: "until " + ej.Until.UTC().Format(time.RFC3339Nano),
	})
	e.book.Add(ej.Owner, kqaccount.Key{Cause: kqaccount.Ejected, Service: ej.Target.Service, Target: ej.Target.ID})
}

// enter registers a call and returns its identity and its effects.
func (e *Engine) enter() (uint64, chan kqdispatch.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	ch := make(chan kqdispatch.Effect, effectRoom)
	e.waiting[e.nextID] = ch
	if e.calls.Add(1) == 1 {
		select {
		case e.busy <- struct{}{}:
		default:
		}
	}
	return e.nextID, ch
}

func (e *Engine) exit(id uint64) {
	e.mu.Lock()
	delete(e.waiting, id)
	e.mu.Unlock()
	e.calls.Add(-1)
}

// tick feeds Tick events while calls are in progress.
func (e *Engine) tick() {
	defer e.wait.Done()
	for {
		select {
		case <-e.done:
			return
		case <-e.busy:
		}
		for e.calls.Load() > 0 {
			select {
			case <-e.done:
				return
			case <-time.After(kqdispatch.TickInterval):
				e.Feed(kqdispatch.Tick{})
			}
		}
	}
}

func (e *Engine) sweep() {
	defer e.wait.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-tick.C:
			e.pool.Sweep()
		}
	}
}
