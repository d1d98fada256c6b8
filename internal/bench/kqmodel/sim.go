package kqmodel

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"kumquatglade/internal/route/kqselection"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Report is what a policy did under one load; its requests are first tries.
type Report struct {
	Requests int
	InTime   int // answered within the objective
	Late     int // answered later
	Refused  int // or given up
	Asked    int // questions
	Dials    int // new connections to targets
	Far      int // sends and questions to another failure domain
	Latency  *hdrhistogram.Histogram
	Sent     [][]time.Duration // by target: when requests were sent to it
	Shed     []int             // by target: requests that found its queue full
	Classes  []ClassReport
}

// ClassReport counts the requests of one class whose first try came during the fault.
type ClassReport struct {
	Name     string
	Requests int
	InTime   int
	Late     int
}

// Add adds the counts of another play.
func (c *ClassReport) Add(o ClassReport) {
	c.Name = o.Name
	c.Requests += o.Requests
	c.InTime += o.InTime
	c.Late += o.Late
}

// ShareInTime returns the share of requests that were answered within the objective.
func (c *ClassReport) ShareInTime() float64 { return float64(c.InTime) / float64(max(c.Requests, 1)) }

// ShareAnswered returns the share of requests that were answered.
func (c *ClassReport) ShareAnswered() float64 {
	return float64(c.InTime+c.Late) / float64(max(c.Requests, 1))
}

// sim is one play.
type sim struct {
	clock
	cfg     Config
	classes []Class
	rng     *rand.Rand
	began   time.Time
	targets []*target
	hosts   []*host
	report  Report
}

// host is one entry host.
type host struct {
	s       *sim
	domain  string
	dark    bool
	known   []*kqselection.Target // as this host sees them, by target
	chooser kqselection.Selector
	units   []kqselection.ServiceTime // by class
	asks    kqselection.TokenBucket
	budget  kqselection.RetryBudget
	seeking bool
	used    []time.Time // when the connection to a target was last used, by target
	list    *kqselection.EntryList
}

// request is one caller's wish over all its tries.
type request struct {
	born  time.Time
	end   time.Time // when the caller gives up
	work  time.Duration
	tries int
	class int

	counted bool // its first try at a host came during the fault
}

const (
	highest      = int64(time.Minute)
	digits       = 3
	drained      = 5 * time.Second        // after the last arrival, for what is in progress
	askPart      = 0.85                   // of the questions allowed
	askSaved     = 10                     // seconds over which questions are saved
	backShare    = 0.25                   // of the time left over which returns are spread
	returnWithin = 300 * time.Millisecond // after an outage: callers repeat at once
	backLeast    = 60 * time.Millisecond
	seconds      = 0.2 // second sends for each request
	slack        = 56  // second sends of all hosts in a window
	window       = 10 * time.Second
)

// Run plays the load under the policy.
func Run(cfg Config, policy string) (*Report, error) {
	p, ok := policies[policy]
	if !ok {
		return nil, errors.Newf("policy %q is unknown", policy)
	}
	s := newSim(cfg)
	for class, k := range s.classes {
		s.arrive(p, class)
		for range int(cfg.Fault.Outage.Seconds() * k.Rate) {
			age := time.Duration(s.rng.Float64() * float64(cfg.Fault.Outage))
			s.after(time.Duration(s.rng.Float64()*float64(returnWithin)), func() { s.requestBorn(p, class, s.now.Add(-age)) })
		}
		for range int(cfg.Fault.Return * k.Rate) { // all hosts were dark: nobody knows anything yet
			s.after(time.Duration(s.rng.Float64()*float64(time.Second)), func() { s.request(p, class) })
		}
	}
	if cfg.Fault.Dark > 0 {
		s.after(cfg.From, func() {
			for i := range int(math.Round(cfg.Fault.Dark * float64(cfg.Hosts))) {
				s.hosts[i].dark = true
			}
		})
	}
	if cfg.Fault.Cold > 0 && cfg.ColdRate > 0 {
		s.after(cfg.From, s.announceCold)
	}
	s.run(s.began.Add(cfg.Duration + drained))
	s.report.Refused = s.report.Requests - s.report.InTime - s.report.Late
	return &s.report, nil
}

func newSim(cfg Config) *sim {
	s := &sim{cfg: cfg, classes: cfg.classes(), rng: rand.New(rand.NewPCG(cfg.Seed, 5)), began: time.Unix(0, 0)}
	s.now = s.began
	s.report.Sent, s.report.Shed = make([][]time.Duration, cfg.Targets), make([]int, cfg.Targets)
	s.report.Latency = hdrhistogram.New(1, highest, digits)
	for _, k := range s.classes {
		s.report.Classes = append(s.report.Classes, ClassReport{Name: k.Name})
	}
	for i := range cfg.Targets {
		t := &target{s: s, n: i, domain: cfg.Domains[i%len(cfg.Domains)]}
		s.targets = append(s.targets, t)
		s.after(time.Duration(s.rng.Float64()*float64(cfg.NoiseEvery)), t.drift)
		t.slow = 1
	}
	for i := range cfg.Hosts {
		s.hosts = append(s.hosts, s.newHost(cfg.Domains[i%len(cfg.Domains)]))
	}
	return s
}

func (s *sim) newHost(domain string) *host {
	knee := &kqselection.Saturation{}
	h := &host{
		s: s, domain: domain, chooser: kqselection.Selector{Domain: domain, Rand: s.rng, Saturation: knee, Admission: kqselection.Admission{Active: s.cfg.LeastCost}},
		budget: kqselection.RetryBudget{Ratio: seconds, Slack: slack, Window: window},
	}
	h.units = make([]kqselection.ServiceTime, len(s.classes))
	h.used = make([]time.Time, len(s.targets))
	for _, t := range s.targets {
		h.known = append(h.known, &kqselection.Target{Rank: kqselection.Rank(strconv.Itoa(len(s.hosts)), strconv.Itoa(t.n)), Domain: t.domain, Slots: s.cfg.Slots, Saturation: knee})
	}
	if s.cfg.ColdRate > 0 {
		h.limitCold(len(s.hosts))
	}
	if s.cfg.Preferred > 0 {
		kqselection.Prefer(h.known, domain, s.cfg.Preferred)
	}
	return h
}

func (s *sim) since() time.Duration { return s.now.Sub(s.began) }

// inFault reports whether the fault is on.
func (s *sim) inFault(at time.Time) bool {
	since := at.Sub(s.began)
	return since >= s.cfg.From && since < s.cfg.From+s.cfg.For
}

// arrive makes the next request of the class come, until the end of the play.
func (s *sim) arrive(p policy, class int) {
	rate := s.classes[class].Rate
	if at := s.since(); s.cfg.Fault.Burst > 0 && !s.classes[class].Steady && at >= s.cfg.From && at < s.cfg.From+s.cfg.For {
		rate *= s.cfg.Fault.Burst
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.since() > s.cfg.Duration {
			return
		}
		s.request(p, class)
		s.arrive(p, class)
	})
}

// request makes a request of the class come now.
func (s *sim) request(p policy, class int) { s.requestBorn(p, class, s.now) }

// requestBorn makes a request come now whose caller first tried at another time.
func (s *sim) requestBorn(p policy, class int, born time.Time) {
	s.report.Requests++
	if s.inFault(s.now) {
		s.report.Classes[class].Requests++
	}
	k := &s.classes[class]
	work := time.Duration(math.Exp(s.cfg.Spread*s.rng.NormFloat64()) * float64(k.Work))
	s.try(p, &request{born: born, end: born.Add(k.Patience), work: work, class: class, counted: s.inFault(s.now)})
}

// try brings the request to a host that is there.
func (s *sim) try(p policy, r *request) {
	r.tries++
	s.after(s.cfg.Client, func() {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		for h.dark {
			h = s.hosts[s.rng.IntN(len(s.hosts))]
		}
		h.budget.Request(s.now)
		p(h, &passage{host: h, request: r, policy: p, until: s.now.Add(min(s.classes[r.class].Timeout, r.end.Sub(s.now)))})
	})
}

// answered notes an answer that the caller gets now.
func (s *sim) answered(r *request) {
	took := s.now.Add(s.cfg.Client).Sub(r.born)
	if s.now.After(r.end) {
		return
	}
	_ = s.report.Latency.RecordValue(min(int64(took), highest)) // within the bounds
	class := &s.report.Classes[r.class]
	counted := r.counted
	if took <= s.classes[r.class].Objective {
		s.report.InTime++
		if counted {
			class.InTime++
		}
		return
	}
	s.report.Late++
	if counted {
		class.Late++
	}
}

// reach returns how long the first byte takes to the target, over the connection that is
// kept to it or a new one; once says that the request runs at most once.
func (h *host) reach(t *target, once bool) time.Duration {
	s := h.s
	way := s.distance(h, t)
	if h.domain != t.domain {
		s.report.Far++
	}
	idle := s.now.Sub(h.used[t.n])
	fresh := !h.used[t.n].IsZero() && idle <= s.cfg.KeepIdle && (!once || idle <= s.cfg.OnceIdle)
	h.used[t.n] = s.now
	if fresh || s.cfg.Dial == 0 {
		return way
	}
	s.report.Dials++
	return 3*way + s.cfg.Dial
}

func (s *sim) distance(h *host, t *target) time.Duration {
	if h.domain == t.domain {
		return s.cfg.Near
	}
	return s.cfg.Far
}
