package kqcall

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/state/kqfeed"

	"github.com/rcrowley/go-metrics"
)

// effectRoom is more effects than one call can be given.
const effectBuffer = 32

// Config constructs an Engine.
type Config struct {
	Host        string
	Policy      func() kq.Policy // a new policy for each service
	PolicyOnly  bool             // see kqdispatch.Config
	Clock       kq.Clock
	Rand        *rand.Rand
	Events      *kqevent.Recorder
	Metrics     metrics.Registry
	Coordinator *kqidempotency.Coordinator // claims keys, nil without guards
	// Part returns the part of an owner's limits on a service that this host
	// may use now.
	LimitFraction func(owner, service string) float64
	// View returns the view to act on, nil if this host must not serve.
	View func() *kqfeed.View
}

// Engine runs the dispatch reducer and the calls in progress.
type Engine struct {
	cfg         Config
	started     int64 // Unix nanoseconds, tells the calls of two starts apart
	pool        *kqtransport.Pool
	accounts    *kqaccount.Accounts
	activeCalls atomic.Int64
	entryHosts  atomic.Int64 // entry hosts that share the targets' connections
	draining    atomic.Bool
	view        atomic.Pointer[kqfeed.View] // whose limits act here
	wake        chan struct{}
	done        chan struct{}
	wg          sync.WaitGroup
	served      metrics.Timer
	refused     metrics.Counter

	mu       sync.Mutex
	dispatch *kqdispatch.Dispatch
	effects  map[uint64]chan kqdispatch.Effect
	nextID   uint64
}

// NewEngine returns a running Engine.
func NewEngine(cfg Config) *Engine {
	e := &Engine{
		cfg: cfg, started: cfg.Clock.Now().UnixNano(), pool: kqtransport.NewPool(), accounts: kqaccount.NewAccounts(cfg.Clock.Now),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		served:   metrics.GetOrRegisterTimer("calls.served", cfg.Metrics),
		refused:  metrics.GetOrRegisterCounter("calls.refused", cfg.Metrics),
		effects:  map[uint64]chan kqdispatch.Effect{},
		dispatch: kqdispatch.New(kqdispatch.Config{Policy: cfg.Policy, PolicyOnly: cfg.PolicyOnly, Rand: cfg.Rand}),
	}
	e.entryHosts.Store(1)
	e.wg.Add(2)
	go e.tickLoop()
	go e.sweepLoop()
	return e
}

// Close stops the engine's own work; calls in progress go on.
func (e *Engine) Close() {
	close(e.done)
	e.wg.Wait()
	e.pool.Close()
}

// Book returns the owners' accounts.
func (e *Engine) Accounts() *kqaccount.Accounts {
	return e.accounts
}

// Calls returns the calls in progress.
func (e *Engine) ActiveCalls() int64 {
	return e.activeCalls.Load()
}

// Stop makes the engine tell its callers to go elsewhere: new calls are still
// served, but connections are closed behind them.
func (e *Engine) Drain() {
	e.draining.Store(true)
}

// Feed gives the reducer one event and hands its effects to the calls.
func (e *Engine) HandleEvent(ev kqdispatch.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, eff := range e.dispatch.Reduce(e.cfg.Clock.Now(), ev) {
		e.routeEffect(eff)
	}
}

func (e *Engine) routeEffect(eff kqdispatch.Effect) {
	if ej, ok := eff.(kqdispatch.TargetEjected); ok {
		e.recordEjection(ej)
		return
	}
	if ch := e.effects[eff.Call()]; ch != nil {
		ch <- eff // has room for all effects of one call
	}
}

func (e *Engine) recordEjection(ej kqdispatch.TargetEjected) {
	e.cfg.Events.Add(kqevent.Event{
		Part: "dispatch", Kind: "ejected", Owner: ej.Owner, Service: ej.Target.Service, Target: ej.Target.ID,
		Text: "until " + ej.Until.UTC().Format(time.RFC3339Nano),
	})
	e.accounts.Add(ej.Owner, kqaccount.Key{Cause: kqaccount.Ejected, Service: ej.Target.Service, Target: ej.Target.ID})
}

// enter registers a call and returns its identity and its effects.
func (e *Engine) registerCall() (uint64, chan kqdispatch.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	ch := make(chan kqdispatch.Effect, effectBuffer)
	e.effects[e.nextID] = ch
	if e.activeCalls.Add(1) == 1 {
		select {
		case e.wake <- struct{}{}:
		default:
		}
	}
	return e.nextID, ch
}

func (e *Engine) unregisterCall(id uint64) {
	e.mu.Lock()
	delete(e.effects, id)
	e.mu.Unlock()
	e.activeCalls.Add(-1)
}

// tick feeds Tick events while calls are in progress.
func (e *Engine) tickLoop() {
	defer e.wg.Done()
	for {
		select {
		case <-e.done:
			return
		case <-e.wake:
		}
		for e.activeCalls.Load() > 0 {
			select {
			case <-e.done:
				return
			case <-time.After(kqdispatch.TickInterval):
				e.HandleEvent(kqdispatch.Tick{})
			}
		}
	}
}

func (e *Engine) sweepLoop() {
	defer e.wg.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-tick.C:
			e.pool.CloseExpired()
		}
	}
}
