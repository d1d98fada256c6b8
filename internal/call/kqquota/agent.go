package kqquota

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/route/kqallocation"
	"kumquatglade/internal/route/kqdispatch"

	"github.com/cockroachdb/errors"
)

// MethodReport is the kind of the request that reports demand to the allocator.
const MethodReport = "report"

const (
	steadyReportInterval = time.Second // between two reports while demand is steady
	steadyRelativeChange = 0.2         // relative change of a demand that still counts as steady
	steadyAbsoluteChange = 0.005       // change, as a fraction of the limit, that always counts as steady
	reportTimeout        = 400 * time.Millisecond
	minDemand            = 1e-6 // fraction of a limit; smaller demands are not reported
)

// Config holds the settings of an Agent.
type Config struct {
	Link  kq.Link
	Clock kq.Clock
	// PreferredHosts returns the entry hosts to which callers of a service are sent.
	PreferredHosts func(service string) []string
	// Usages returns how much of its limits each owner needs and uses on this host.
	Usages func() []kqdispatch.Usage
	// OnChange is called when the fractions usable on this host may have changed.
	OnChange func()
}

// Agent obtains this host's fractions of the owners' limits, and grants fractions
// to other hosts while this host is the allocator.
type Agent struct {
	cfg       Config
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	reportNow chan struct{}

	mu      sync.Mutex
	reducer *kqallocation.Reducer
	hosts   []string

	// Used by reportLoop only.
	lastReport time.Time
	lastDemand map[kqallocation.Key]float64 // as sent in the last report
}

// New returns an Agent that does nothing until Run.
func New(cfg Config) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	return &Agent{
		cfg: cfg, ctx: ctx, stop: stop, reportNow: make(chan struct{}, 1),
		reducer: kqallocation.New(kqallocation.Config{Host: cfg.Link.Host(), Preferred: cfg.PreferredHosts}, cfg.Clock.Now()),
	}
}

// Run starts reporting in the background until Close.
func (a *Agent) Run() {
	a.wg.Go(a.reportLoop)
}

// Close stops the agent and waits for its background work.
func (a *Agent) Close() {
	a.stop()
	a.wg.Wait()
}

// SetHosts sets the host list in force and its epoch.
func (a *Agent) SetHosts(epoch uint64, hosts []string) {
	a.mu.Lock()
	a.hosts = hosts
	a.reducer.Reduce(a.cfg.Clock.Now(), kqallocation.HostsChanged{Epoch: epoch, Hosts: hosts})
	a.mu.Unlock()
}

// Fraction returns the fraction, from 0 to 1, of an owner's limits on a service that
// this host may use now.
func (a *Agent) Fraction(owner, service string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reducer.Fraction(kqallocation.Key{Owner: owner, Service: service}, a.cfg.Clock.Now())
}

// reportLoop reports demand at intervals. It wakes up when the granted fractions
// expire, so that OnChange is called at once.
func (a *Agent) reportLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	expired := false
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.reportNow:
			a.lastReport = time.Time{}
		case <-timer.C:
		}
		now := a.cfg.Clock.Now()
		remaining := a.remaining(now)
		if remaining <= 0 && !expired {
			a.cfg.OnChange()
		}
		expired = remaining <= 0
		if now.Sub(a.lastReport) >= kqallocation.ReportInterval {
			a.report(now)
		}
		next := kqallocation.ReportInterval
		if remaining > 0 {
			next = min(next, remaining)
		}
		timer.Reset(next)
	}
}

// remaining returns how long the granted fractions may still be used; it is
// negative once they have expired.
func (a *Agent) remaining(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reducer.LeaseEnd().Sub(now)
}

func (a *Agent) report(now time.Time) {
	demands := toDemands(a.cfg.Usages())
	if a.isSteady(demands) && now.Sub(a.lastReport) < steadyReportInterval {
		return
	}
	a.lastReport = now
	a.lastDemand = map[kqallocation.Key]float64{}
	for _, d := range demands {
		a.lastDemand[d.Key] = d.Want
	}
	a.mu.Lock()
	up := map[string]bool{}
	for _, h := range a.hosts {
		up[h] = a.cfg.Link.Up(h)
	}
	effects := a.reducer.Reduce(now, kqallocation.Tick{Reachable: up, Demands: demands})
	a.mu.Unlock()
	a.applyEffects(effects)
}

// isSteady reports whether no demand has changed noticeably since the last report.
func (a *Agent) isSteady(demands []kqallocation.Demand) bool {
	for _, d := range demands {
		if change := math.Abs(d.Want - a.lastDemand[d.Key]); change > steadyAbsoluteChange && change > steadyRelativeChange*a.lastDemand[d.Key] {
			return false
		}
	}
	return true
}

func toDemands(usages []kqdispatch.Usage) []kqallocation.Demand {
	var demands []kqallocation.Demand
	for _, u := range usages {
		d := kqallocation.Demand{Key: kqallocation.Key{Owner: u.Owner, Service: u.Service}, Want: min(1, max(u.Rate, u.Need)), InUse: u.Active}
		if d.Want > minDemand {
			demands = append(demands, d)
		}
	}
	return demands
}

func (a *Agent) applyEffects(effects []kqallocation.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case kqallocation.SendReport:
			a.wg.Go(func() { a.sendReport(eff) })
		case kqallocation.SharesChanged:
			a.cfg.OnChange()
		case kqallocation.TickNow:
			select {
			case a.reportNow <- struct{}{}:
			default:
			}
		}
	}
}

func (a *Agent) sendReport(eff kqallocation.SendReport) {
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	sent := a.cfg.Clock.Now()
	var lease kqallocation.Lease
	if err := a.cfg.Link.Call(ctx, eff.To, MethodReport, eff.Report, &lease); err != nil {
		return // the next report is the retry
	}
	a.mu.Lock()
	effects := a.reducer.Reduce(a.cfg.Clock.Now(), kqallocation.LeaseReceived{From: eff.To, Sent: sent, Lease: lease})
	a.mu.Unlock()
	a.applyEffects(effects)
}

// HandleReport answers another host's report with the fractions granted to it. It
// returns an error if the report is malformed or does not come from the peer.
func (a *Agent) HandleReport(peer string, body json.RawMessage) (any, error) {
	var r kqallocation.Report
	if err := json.Unmarshal(body, &r); err != nil || r.From != peer {
		return nil, errors.Newf("lend: report of %s is malformed", peer)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, eff := range a.reducer.Reduce(a.cfg.Clock.Now(), kqallocation.ReportReceived{Report: r}) {
		if reply, ok := eff.(kqallocation.Reply); ok {
			return reply.Lease, nil
		}
	}
	return nil, errors.New("lend: no reply")
}
