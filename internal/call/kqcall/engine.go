package kqcall

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqshutdown"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/state/kqfeed"

	"github.com/rcrowley/go-metrics"
)

// effectBuffer is larger than the number of effects that one call can receive, so
// that sending an effect never blocks the reducer.
const effectBuffer = 32

// Config holds the settings of an Engine.
type Config struct {
	Host        string
	Policy      func() kq.Policy // returns a new policy for each service
	PolicyOnly  bool             // the policy alone chooses targets, without free slots, ejections or hedges; for baselines
	Clock       kq.Clock
	Rand        *rand.Rand
	Events      *kqevent.Recorder
	Metrics     metrics.Registry
	Coordinator *kqidempotency.Coordinator // claims idempotency keys; nil to send calls with a key without a claim
	// LimitFraction returns the fraction, from 0 to 1, of an owner's limits on a
	// service that this host may use now.
	LimitFraction func(owner, service string) float64
	// View returns the configuration in force, or nil if this host must not serve.
	View   func() *kqfeed.View
	Memory int64 // bytes that the process may use; 0: unknown
}

// Engine runs the dispatch reducer and the calls in flight.
type Engine struct {
	cfg         Config
	started     int64 // Unix nanoseconds; keeps call IDs unique across restarts
	pool        *kqtransport.Pool
	accounts    *kqaccount.Accounts
	bodies      *kqbody.Memory
	activeCalls atomic.Int64
	entryHosts  atomic.Int64 // entry hosts that share the targets' connections
	shutdown    kqshutdown.Shutdown
	view        atomic.Pointer[kqfeed.View] // whose limits are in force on this host
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
		cfg: cfg, started: cfg.Clock.Now().UnixNano(), pool: kqtransport.NewPool(kqtransport.Config{}), accounts: kqaccount.NewAccounts(cfg.Clock.Now), bodies: kqbody.NewMemory(kqbody.Share(cfg.Memory)),
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

// Close stops the engine's background work. Calls in flight are not interrupted.
func (e *Engine) Close() {
	close(e.done)
	e.wg.Wait()
	e.pool.Close()
}

// Accounts returns the owners' accounts on this host.
func (e *Engine) Accounts() *kqaccount.Accounts {
	return e.accounts
}

// ActiveCalls returns the number of calls in flight.
func (e *Engine) ActiveCalls() int64 {
	return e.activeCalls.Load()
}

// Stop begins the shutdown of the host, which aborts what is still running at end: each
// response closes its connection, and a call that might not be answered by then is
// refused.
func (e *Engine) Stop(end time.Time) {
	e.shutdown.Begin(end)
}

// HandleEvent passes an event to the dispatch reducer and its effects to the calls.
func (e *Engine) HandleEvent(ev kqdispatch.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, eff := range e.dispatch.Reduce(e.cfg.Clock.Now(), ev) {
		e.routeEffect(eff)
	}
}

func (e *Engine) routeEffect(eff kqdispatch.Effect) {
	if ejected, ok := eff.(kqdispatch.TargetEjected); ok {
		e.recordEjection(ejected)
		return
	}
	if ch := e.effects[eff.Call()]; ch != nil {
		ch <- eff // never blocks: the buffer holds all effects of one call
	}
}

func (e *Engine) recordEjection(ejected kqdispatch.TargetEjected) {
	e.cfg.Events.Add(kqevent.Event{
		Component: "dispatch", Kind: "ejected", Owner: ejected.Owner, Service: ejected.Target.Service, Target: ejected.Target.ID,
		Text: "until " + ejected.Until.UTC().Format(time.RFC3339Nano),
	})
	e.accounts.Add(ejected.Owner, kqaccount.Key{Cause: kqaccount.Ejected, Service: ejected.Target.Service, Target: ejected.Target.ID})
}

// registerCall registers a call, wakes tickLoop for the first one, and returns the
// call's ID and the channel of its effects.
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

// tickLoop passes clock ticks to the reducer while calls are in flight.
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

// sweepLoop lets the pool close expired idle connections once a second.
func (e *Engine) sweepLoop() {
	defer e.wg.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
			e.pool.CloseExpired()
		}
	}
}
