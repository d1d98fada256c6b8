package kqproxy

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqshutdown"
	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"

	"github.com/rcrowley/go-metrics"
)

// Config constructs an Engine.
type Config struct {
	HeaderNames HeaderNames
	Host        string // name of this host
	Domain      string // failure domain of this host
	Clock       kq.Clock
	Rand        *rand.Rand
	Log         *kqlog.Log
	Metrics     metrics.Registry
	Hosts       func() int // returns the number of entry hosts, this one included, that share limits
	Limits      Limits
	LinkRate    float64 // bytes a second that the host's link carries; 0: unknown
	Memory      int64   // bytes that the process may use; 0: unknown
	Limiter     Limiter // of owners; nil: owners have no limits

	// Entries returns the list of entry hosts; nil if this is the only one.
	Entries func() Entries
	// StateAge returns the time since a control host last confirmed that the routes in force
	// here are the newest; nil: they always are.
	StateAge func() time.Duration
	Domains  map[string]string // region of each failure domain

	// ExactHosts says that a host is found only by the name and port with which it is listed.
	ExactHosts bool
	// Keyed says that callers may present keys whatever the routes in force say.
	Keyed bool
}

// Limits are the limits that all entry hosts share.
type Limits struct {
	RetryRatio  float64       // retries for each request to a service
	RetrySlack  float64       // retries in one window on top of RetryRatio, of all hosts together
	RetryWindow time.Duration // period over which retries are counted
	ProbeRate   float64       // probes of one target per second by all hosts together; 0 means no limit

	Cold kqselection.ColdLimits // of each cold target
}

// Engine forwards requests. It is safe for concurrent use.
type Engine struct {
	cfg        Config
	pool       *kqtransport.Pool
	pacer      *kqtransport.Pacer // of long bodies in both directions
	readAheads *readAheadPool
	bodies     *kqbody.Memory
	routing    atomic.Pointer[routingState]
	shutdown   kqshutdown.Shutdown
	inFlight   atomic.Int64
	metrics    engineMetrics
	done       chan struct{}

	started     time.Time
	firstRoutes chan struct{} // closed once routes have been applied

	mu              sync.Mutex
	doc             *kqroutes.Document
	knownTargets    map[string]*kqselection.Target
	evacuations     map[string]evacuation // by failure domain
	retryBudgets    map[string]*kqselection.RetryBudget
	probeAllowance  kqselection.TokenBucket             // probes that this host may send
	choosers        map[string]*chooser                 // by service name
	serviceTimes    map[string]*kqselection.ServiceTime // by route name
	shortestProbes  map[string]time.Duration            // by failure domain: the shortest time to the answer of a probe
	longestTimeouts map[string]time.Duration            // by route name: the longest timeout of a caller so far
	cold            coldTargets
	queued          map[*proxiedRequest]queuedRequest // that a new document may end

	usageMu sync.Mutex
	usage   map[string]*ownerCounts // by owner

	runningMu sync.Mutex
	running   map[*proxiedRequest]struct{} // requests in flight
}

// engineMetrics are the engine's published metrics.
type engineMetrics struct {
	requests, answered, refused, failed, retries, probes, failedProbes metrics.Counter
	cut                                                                metrics.Counter // requests in flight when the host ended
	barred                                                             metrics.Counter // sends given up because the target was barred after it was chosen
	uninformed                                                         metrics.Counter // sends without a load report in time
	hung                                                               metrics.Counter // sends that their target never answered, by its own reports
	foreign                                                            metrics.Counter // responses to other requests that were skipped
	leaving, quiet, oddQuiet                                           metrics.Counter // targets that said they shut down, or asked for quiet, or for a time not understood
	coldRefused, turnedCold, turnedWarm, oddCold                       metrics.Counter // requests refused because of cold targets, targets that turned cold or warm, cold times not understood
	latency, probeTime                                                 metrics.Timer
	firstByte                                                          metrics.Timer // from the choice of a target to the first byte

	barredBy  map[kqselection.Barred]metrics.Counter // sends given up by reason
	evacuated metrics.Counter                        // requests refused because all targets are evacuated
	key       map[string]metrics.Counter             // requests refused for their key, by cause

	keyWithheld metrics.Counter // sends from which a key was removed that the request did not need
	keyMoved    metrics.Counter // requests whose key moved to another owner while they were here
}

// New returns an Engine that refuses all requests until Apply is called.
func New(cfg Config) *Engine {
	pacer := kqtransport.NewPacer(cfg.LinkRate)
	e := &Engine{
		cfg: cfg, started: cfg.Clock.Now(), firstRoutes: make(chan struct{}), done: make(chan struct{}),
		pacer: pacer, pool: kqtransport.NewPool(kqtransport.Config{Pacer: pacer}),
		readAheads: newReadAheadPool(), bodies: kqbody.NewMemory(kqbody.Share(cfg.Memory)),
		knownTargets: map[string]*kqselection.Target{}, evacuations: map[string]evacuation{},
		retryBudgets: map[string]*kqselection.RetryBudget{}, choosers: map[string]*chooser{},
		serviceTimes: map[string]*kqselection.ServiceTime{}, shortestProbes: map[string]time.Duration{}, longestTimeouts: map[string]time.Duration{},
		running: map[*proxiedRequest]struct{}{}, queued: map[*proxiedRequest]queuedRequest{}, usage: map[string]*ownerCounts{},
		metrics: newEngineMetrics(cfg.Metrics),
	}
	go e.closeExpired()
	return e
}

func newEngineMetrics(r metrics.Registry) engineMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("routes."+name, r) }
	timer := func(name string) metrics.Timer { return metrics.GetOrRegisterTimer("routes."+name, r) }
	m := engineMetrics{
		requests: counter("requests"), answered: counter("answered"), refused: counter("refused"), failed: counter("failed"),
		retries: counter("second"), probes: counter("questions"), failedProbes: counter("unanswered"),
		cut: counter("cut"), barred: counter("barred"), foreign: counter("foreign"), uninformed: counter("uninformed"), hung: counter("hung"),
		leaving: counter("leaving"), quiet: counter("quiet"), oddQuiet: counter("oddquiet"), evacuated: counter("evacuated"),
		coldRefused: counter("coldrefused"), turnedCold: counter("turnedcold"), turnedWarm: counter("turnedwarm"), oddCold: counter("oddcold"),
		key: newKeyCounters(counter), keyWithheld: counter("key.withheld"), keyMoved: counter("key.moved"), barredBy: map[kqselection.Barred]metrics.Counter{},
		latency: timer("latency"), firstByte: timer("firstbyte"), probeTime: timer("asking"),
	}
	for reason, name := range barredCounters {
		m.barredBy[reason] = counter("barred." + name)
	}
	return m
}

// closeExpired closes expired idle connections regularly until Close is called.
func (e *Engine) closeExpired() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-tick.C:
			e.pool.CloseExpired()
			e.sweepCold()
		}
	}
}

// Stop begins the shutdown of the host, which aborts what is still running at end: all
// further responses close the caller's connection, and a request that might not be
// answered by then is refused.
func (e *Engine) Stop(end time.Time) { e.shutdown.Begin(end) }

// InFlight returns the number of requests in flight.
func (e *Engine) InFlight() int64 { return e.inFlight.Load() }

// LogCut logs each request in flight, when the host is about to end.
func (e *Engine) LogCut() {
	e.runningMu.Lock()
	defer e.runningMu.Unlock()
	for p := range e.running {
		e.metrics.cut.Inc(1)
		e.cfg.Log.Warn().Str("id", p.id).Str("path", p.in.URL.Path).Dur("took", e.cfg.Clock.Now().Sub(p.started)).Msg("request: cut by the end of the host")
	}
}

func (e *Engine) setRunning(p *proxiedRequest, running bool) {
	e.runningMu.Lock()
	defer e.runningMu.Unlock()
	if running {
		e.running[p] = struct{}{}
		return
	}
	delete(e.running, p)
}

// Ready reports whether routes have been applied.
func (e *Engine) Ready() bool { return e.routing.Load() != nil }

// Close stops the engine's background work and closes its idle connections.
func (e *Engine) Close() {
	close(e.done)
	e.pool.Close()
}

// retryBudget returns the retry budget of the service; e.mu must be held.
func (e *Engine) retryBudget(service string) *kqselection.RetryBudget {
	b := e.retryBudgets[service]
	if b == nil {
		l := e.cfg.Limits
		b = &kqselection.RetryBudget{Ratio: l.RetryRatio, Slack: l.RetrySlack, Window: l.RetryWindow}
		e.retryBudgets[service] = b
	}
	return b
}

// randomFloat returns a random number that is uniform in [0, 1).
func (e *Engine) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Rand.Float64()
}

// countRequest counts a request to the service towards its retry budget.
func (e *Engine) countRequest(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudget(service).Request(e.cfg.Clock.Now())
}

// takeRetry takes one retry from the budget of the service, if it allows one.
func (e *Engine) takeRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Take(e.cfg.Clock.Now(), e.cfg.Hosts())
}

// ServeHTTP forwards one request and writes the response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.metrics.requests.Inc(1)
	p := &proxiedRequest{engine: e, w: w, in: r}
	p.started, p.id = e.cfg.Clock.Now(), r.Header.Get(e.cfg.HeaderNames.RequestID)
	defer func() { e.metrics.latency.Update(e.cfg.Clock.Now().Sub(p.started)) }()
	e.setRunning(p, true)
	defer e.setRunning(p, false)
	p.serve()
}
