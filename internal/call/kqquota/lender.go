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

// MethodReport is the request from a host to the allocator.
const MethodReport = "report"

const (
	steadyReportInterval = time.Second // between two reports while demand stays as it is
	steadyRelativeChange = 0.2         // part by which demand may change meanwhile
	steadyAbsoluteChange = 0.005       // part of a limit that is no change
	reportTimeout        = 400 * time.Millisecond
	minDemand            = 1e-6
)

// Config constructs a Lender.
type Config struct {
	Link  kq.Link
	Clock kq.Clock
	// Preferred returns the hosts that callers of a service are sent to.
	PreferredHosts func(service string) []string
	// Usages returns what owners need here.
	Usages func() []kqdispatch.Usage
	// Changed is called when the parts may have changed.
	OnChange func()
}

// Lender runs the allot reducer of one host.
type Agent struct {
	cfg       Config
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	reportNow chan struct{}

	mu      sync.Mutex
	reducer *kqallocation.Reducer
	hosts   []string

	// The fields below belong to the loop.
	lastReport time.Time
	lastDemand map[kqallocation.Key]float64 // demand of the last report
}

// New returns a Lender; Run starts it.
func New(cfg Config) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	return &Agent{
		cfg: cfg, ctx: ctx, stop: stop, reportNow: make(chan struct{}, 1),
		reducer: kqallocation.New(kqallocation.Config{Host: cfg.Link.Host(), Preferred: cfg.PreferredHosts}, cfg.Clock.Now()),
	}
}

// Run reports until Close.
func (l *Agent) Run() {
	l.wg.Go(l.reportLoop)
}

// Close stops the lender.
func (l *Agent) Close() {
	l.stop()
	l.wg.Wait()
}

// Enforce takes the host list in force.
func (l *Agent) SetHosts(epoch uint64, hosts []string) {
	l.mu.Lock()
	l.hosts = hosts
	l.reducer.Reduce(l.cfg.Clock.Now(), kqallocation.HostsChanged{Epoch: epoch, Hosts: hosts})
	l.mu.Unlock()
}

// Part returns the part of an owner's limits on a service that may be used now.
func (l *Agent) Fraction(owner, service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reducer.Fraction(kqallocation.Key{Owner: owner, Service: service}, l.cfg.Clock.Now())
}

// loop reports now and then, and notices the end of a loan at once.
func (l *Agent) reportLoop() {
	check := time.NewTimer(0)
	defer check.Stop()
	ended := false
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.reportNow:
			l.lastReport = time.Time{}
		case <-check.C:
		}
		now := l.cfg.Clock.Now()
		left := l.remaining(now)
		if left <= 0 && !ended {
			l.cfg.OnChange()
		}
		ended = left <= 0
		if now.Sub(l.lastReport) >= kqallocation.ReportInterval {
			l.report(now)
		}
		next := kqallocation.ReportInterval
		if left > 0 {
			next = min(next, left)
		}
		check.Reset(next)
	}
}

// left returns for how long the loan may still be used.
func (l *Agent) remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reducer.LeaseEnd().Sub(now)
}

func (l *Agent) report(now time.Time) {
	list := toDemands(l.cfg.Usages())
	if l.isSteady(list) && now.Sub(l.lastReport) < steadyReportInterval {
		return
	}
	l.lastReport = now
	l.lastDemand = map[kqallocation.Key]float64{}
	for _, d := range list {
		l.lastDemand[d.Key] = d.Want
	}
	l.mu.Lock()
	up := map[string]bool{}
	for _, h := range l.hosts {
		up[h] = l.cfg.Link.Up(h)
	}
	effects := l.reducer.Reduce(now, kqallocation.Tick{Reachable: up, Demands: list})
	l.mu.Unlock()
	l.applyEffects(effects)
}

// calm reports whether demand is about as in the last report.
func (l *Agent) isSteady(list []kqallocation.Demand) bool {
	for _, d := range list {
		if change := math.Abs(d.Want - l.lastDemand[d.Key]); change > steadyAbsoluteChange && change > steadyRelativeChange*l.lastDemand[d.Key] {
			return false
		}
	}
	return true
}

func toDemands(usages []kqdispatch.Usage) []kqallocation.Demand {
	var list []kqallocation.Demand
	for _, u := range usages {
		d := kqallocation.Demand{Key: kqallocation.Key{Owner: u.Owner, Service: u.Service}, Want: min(1, max(u.Rate, u.Need)), InUse: u.Active}
		if d.Want > minDemand {
			list = append(list, d)
		}
	}
	return list
}

func (l *Agent) applyEffects(effects []kqallocation.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case kqallocation.SendReport:
			l.wg.Go(func() { l.sendReport(eff) })
		case kqallocation.SharesChanged:
			l.cfg.OnChange()
		case kqallocation.TickNow:
			select {
			case l.reportNow <- struct{}{}:
			default:
			}
		}
	}
}

func (l *Agent) sendReport(eff kqallocation.SendReport) {
	ctx, cancel := context.WithTimeout(l.ctx, reportTimeout)
	defer cancel()
	sent := l.cfg.Clock.Now()
	var loan kqallocation.Lease
	if err := l.cfg.Link.Call(ctx, eff.To, MethodReport, eff.Report, &loan); err != nil {
		return // the next report asks again
	}
	l.mu.Lock()
	effects := l.reducer.Reduce(l.cfg.Clock.Now(), kqallocation.LeaseReceived{From: eff.To, Sent: sent, Lease: loan})
	l.mu.Unlock()
	l.applyEffects(effects)
}

// Answer handles a report of another host.
func (l *Agent) HandleReport(peer string, body json.RawMessage) (any, error) {
	var r kqallocation.Report
	if err := json.Unmarshal(body, &r); err != nil || r.From != peer {
		return nil, errors.Newf("lend: report of %s is malformed", peer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, eff := range l.reducer.Reduce(l.cfg.Clock.Now(), kqallocation.ReportReceived{Report: r}) {
		if reply, ok := eff.(kqallocation.Reply); ok {
			return reply.Lease, nil
		}
	}
	return nil, errors.New("lend: no reply")
}
