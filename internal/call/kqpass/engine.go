package kqpass

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"

	"github.com/rcrowley/go-metrics"
)

// Config constructs an Engine.
type Config struct {
	Names   Names
	Domain  string // failure domain of this host
	Clock   kq.Clock
	Rand    *rand.Rand
	Log     *kqlog.Log
	Metrics metrics.Registry
	Hosts   func() int // entry hosts that share budgets and connections, this one included
	Limits  Limits
}

// Limits are what all entry hosts share.
type Limits struct {
	SecondRatio  float64       // second sends to a service for each request for it
	SecondSlack  float64       // second sends of all hosts together in one window
	SecondWindow time.Duration // over which second sends are counted
	Questions    float64       // asked of one target a second, by all hosts together; 0: not bounded
}

// Engine passes requests on; it is safe for concurrent use.
type Engine struct {
	cfg      Config
	pool     *kqforward.Pool
	scene    atomic.Pointer[scene]
	stopping atomic.Bool
	active   atomic.Int64
	counts   counters
	done     chan struct{}

	mu      sync.Mutex
	doc     *kqroutes.Document
	known   map[string]*kqselection.Target
	budgets map[string]*kqselection.RetryBudget
	asks    kqselection.TokenBucket // questions that this host may ask
	choices map[string]*chooser     // by service
	units   map[string]*kqselection.ServiceTime
	longest map[string]time.Duration // that callers of a route were seen to wait
}

// counters are what the metrics address tells.
type counters struct {
	requests, answered, refused, failed, second, questions, unanswered metrics.Counter
	latency, asking                                                    metrics.Timer
}

// New returns an Engine that refuses everything until Enforce.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg: cfg, pool: kqforward.NewPool(), done: make(chan struct{}), known: map[string]*kqselection.Target{},
		budgets: map[string]*kqselection.RetryBudget{},
		choices: map[string]*chooser{}, units: map[string]*kqselection.ServiceTime{}, longest: map[string]time.Duration{},
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("routes."+name, cfg.Metrics) }
	e.counts = counters{
		requests: counter("requests"), answered: counter("answered"), refused: counter("refused"), failed: counter("failed"),
		second: counter("second"), questions: counter("questions"), unanswered: counter("unanswered"),
		latency: metrics.GetOrRegisterTimer("routes.latency", cfg.Metrics),
		asking:  metrics.GetOrRegisterTimer("routes.asking", cfg.Metrics),
	}
	go e.sweep()
	return e
}

func (e *Engine) sweep() {
	tick := time.NewTicker(sweepEvery)
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

// Stop makes answers close their connections: the host is leaving.
func (e *Engine) Stop() { e.stopping.Store(true) }

// Active returns how many requests are in progress.
func (e *Engine) Active() int64 { return e.active.Load() }

// Ready reports whether there are routes to serve by.
func (e *Engine) Ready() bool { return e.scene.Load() != nil }

// Close ends the engine and its idle connections.
func (e *Engine) Close() {
	close(e.done)
	e.pool.Close()
}

func (e *Engine) budget(service string) *kqselection.RetryBudget {
	b := e.budgets[service]
	if b == nil {
		l := e.cfg.Limits
		b = &kqselection.RetryBudget{Ratio: l.SecondRatio, Slack: l.SecondSlack, Window: l.SecondWindow}
		e.budgets[service] = b
	}
	return b
}

// count notes a request for the service.
func (e *Engine) count(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(service).Request(e.cfg.Clock.Now())
}

// second reports whether a second send to the service is allowed.
func (e *Engine) second(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).Take(e.cfg.Clock.Now(), e.cfg.Hosts())
}

// ServeHTTP serves one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.counts.requests.Inc(1)
	p := &passage{engine: e, w: w, in: r, began: e.cfg.Clock.Now(), id: r.Header.Get(e.cfg.Names.ID)}
	defer func() { e.counts.latency.Update(e.cfg.Clock.Now().Sub(p.began)) }()
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	p.serve()
}
