package kqproxy

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"

	"github.com/rcrowley/go-metrics"
)

// Config constructs an Engine.
type Config struct {
	HeaderNames HeaderNames
	Domain      string // failure domain of this host
	Clock       kq.Clock
	Rand        *rand.Rand
	Log         *kqlog.Log
	Metrics     metrics.Registry
	Hosts       func() int // entry hosts that share budgets and connections, this one included
	Limits      Limits
}

// Limits are what all entry hosts share.
type Limits struct {
	RetryRatio  float64       // second sends to a service for each request for it
	RetrySlack  float64       // second sends of all hosts together in one window
	RetryWindow time.Duration // over which second sends are counted
	ProbeRate   float64       // asked of one target a second, by all hosts together; 0: not bounded
}

// Engine passes requests on; it is safe for concurrent use.
type Engine struct {
	cfg      Config
	pool     *kqtransport.Pool
	routing  atomic.Pointer[routingState]
	stopping atomic.Bool
	inFlight atomic.Int64
	metrics  engineMetrics
	done     chan struct{}

	mu              sync.Mutex
	doc             *kqroutes.Document
	knownTargets    map[string]*kqselection.Target
	retryBudgets    map[string]*kqselection.RetryBudget
	probeAllowance  kqselection.TokenBucket // questions that this host may ask
	choosers        map[string]*chooser     // by service
	serviceTimes    map[string]*kqselection.ServiceTime
	longestTimeouts map[string]time.Duration // that callers of a route were seen to wait
}

// counters are what the metrics address tells.
type engineMetrics struct {
	requests, answered, refused, failed, retries, probes, failedProbes metrics.Counter
	latency, probeTime                                                 metrics.Timer
}

// New returns an Engine that refuses everything until Enforce.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg: cfg, pool: kqtransport.NewPool(), done: make(chan struct{}), knownTargets: map[string]*kqselection.Target{},
		retryBudgets: map[string]*kqselection.RetryBudget{},
		choosers:     map[string]*chooser{}, serviceTimes: map[string]*kqselection.ServiceTime{}, longestTimeouts: map[string]time.Duration{},
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("routes."+name, cfg.Metrics) }
	e.metrics = engineMetrics{
		requests: counter("requests"), answered: counter("answered"), refused: counter("refused"), failed: counter("failed"),
		retries: counter("second"), probes: counter("questions"), failedProbes: counter("unanswered"),
		latency:   metrics.GetOrRegisterTimer("routes.latency", cfg.Metrics),
		probeTime: metrics.GetOrRegisterTimer("routes.asking", cfg.Metrics),
	}
	go e.closeExpired()
	return e
}

func (e *Engine) closeExpired() {
	tick := time.NewTicker(sweepInterval)
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

// Stop makes answers close their connections: the host is leaving.
func (e *Engine) Stop() { e.stopping.Store(true) }

// Active returns how many requests are in progress.
func (e *Engine) InFlight() int64 { return e.inFlight.Load() }

// Ready reports whether there are routes to serve by.
func (e *Engine) Ready() bool { return e.routing.Load() != nil }

// Close ends the engine and its idle connections.
func (e *Engine) Close() {
	close(e.done)
	e.pool.Close()
}

func (e *Engine) retryBudget(service string) *kqselection.RetryBudget {
	b := e.retryBudgets[service]
	if b == nil {
		l := e.cfg.Limits
		b = &kqselection.RetryBudget{Ratio: l.RetryRatio, Slack: l.RetrySlack, Window: l.RetryWindow}
		e.retryBudgets[service] = b
	}
	return b
}

// count notes a request for the service.
func (e *Engine) countRequest(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudget(service).Request(e.cfg.Clock.Now())
}

// second reports whether a second send to the service is allowed.
func (e *Engine) takeRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Take(e.cfg.Clock.Now(), e.cfg.Hosts())
}

// ServeHTTP serves one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.metrics.requests.Inc(1)
	p := &proxiedRequest{engine: e, w: w, in: r, started: e.cfg.Clock.Now(), id: r.Header.Get(e.cfg.HeaderNames.RequestID)}
	defer func() { e.metrics.latency.Update(e.cfg.Clock.Now().Sub(p.started)) }()
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	p.serve()
}
