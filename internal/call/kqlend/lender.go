package kqlend

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
	calmEvery   = time.Second // between two reports while demand stays as it is
	calmChange  = 0.2         // part by which demand may change meanwhile
	calmLeast   = 0.005       // part of a limit that is no change
	reportLimit = 400 * time.Millisecond
	leastUse    = 1e-6
)

// Config constructs a Lender.
type Config struct {
	Link  kq.Link
	Clock kq.Clock
	// Preferred returns the hosts that callers of a service are sent to.
	Preferred func(service string) []string
	// Usages returns what owners need here.
	Usages func() []kqdispatch.Usage
	// Changed is called when the parts may have changed.
	Changed func()
}

// Lender runs the allot reducer of one host.
type Lender struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup
	poke chan struct{}

	mu    sync.Mutex
	allot *kqallocation.Reducer
	hosts []string

	// The fields below belong to the loop.
	reported time.Time
	last     map[kqallocation.Key]float64 // demand of the last report
}

// New returns a Lender; Run starts it.
func New(cfg Config) *Lender {
	ctx, stop := context.WithCancel(context.Background())
	return &Lender{
		cfg: cfg, ctx: ctx, stop: stop, poke: make(chan struct{}, 1),
		allot: kqallocation.New(kqallocation.Config{Host: cfg.Link.Host(), Preferred: cfg.Preferred}, cfg.Clock.Now()),
	}
}

// Run reports until Close.
func (l *Lender) Run() {
	l.wait.Go(l.loop)
}

// Close stops the lender.
func (l *Lender) Close() {
	l.stop()
	l.wait.Wait()
}

// Enforce takes the host list in force.
func (l *Lender) Enforce(epoch uint64, hosts []string) {
	l.mu.Lock()
	l.hosts = hosts
	l.allot.Reduce(l.cfg.Clock.Now(), kqallocation.HostsChanged{Epoch: epoch, Hosts: hosts})
	l.mu.Unlock()
}

// Part returns the part of an owner's limits on a service that may be used now.
func (l *Lender) Part(owner, service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allot.Fraction(kqallocation.Key{Owner: owner, Service: service}, l.cfg.Clock.Now())
}

// loop reports now and then, and notices the end of a loan at once.
func (l *Lender) loop() {
	check := time.NewTimer(0)
	defer check.Stop()
	ended := false
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.poke:
			l.reported = time.Time{}
		case <-check.C:
		}
		now := l.cfg.Clock.Now()
		left := l.left(now)
		if left <= 0 && !ended {
			l.cfg.Changed()
		}
		ended = left <= 0
		if now.Sub(l.reported) >= kqallocation.ReportInterval {
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
func (l *Lender) left(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allot.LeaseEnd().Sub(now)
}

func (l *Lender) report(now time.Time) {
	list := demands(l.cfg.Usages())
	if l.calm(list) && now.Sub(l.reported) < calmEvery {
		return
	}
	l.reported = now
	l.last = map[kqallocation.Key]float64{}
	for _, d := range list {
		l.last[d.Key] = d.Want
	}
	l.mu.Lock()
	up := map[string]bool{}
	for _, h := range l.hosts {
		up[h] = l.cfg.Link.Up(h)
	}
	effects := l.allot.Reduce(now, kqallocation.Tick{Reachable: up, Demands: list})
	l.mu.Unlock()
	l.perform(effects)
}

// calm reports whether demand is about as in the last report.
func (l *Lender) calm(list []kqallocation.Demand) bool {
	for _, d := range list {
		if change := math.Abs(d.Want - l.last[d.Key]); change > calmLeast && change > calmChange*l.last[d.Key] {
			return false
		}
	}
	return true
}

func demands(usages []kqdispatch.Usage) []kqallocation.Demand {
	var list []kqallocation.Demand
	for _, u := range usages {
		d := kqallocation.Demand{Key: kqallocation.Key{Owner: u.Owner, Service: u.Service}, Want: min(1, max(u.Rate, u.Need)), InUse: u.Active}
		if d.Want > leastUse {
			list = append(list, d)
		}
	}
	return list
}

func (l *Lender) perform(effects []kqallocation.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case kqallocation.SendReport:
			l.wait.Go(func() { l.send(eff) })
		case kqallocation.SharesChanged:
			l.cfg.Changed()
		case kqallocation.TickNow:
			select {
			case l.poke <- struct{}{}:
			default:
			}
		}
	}
}

func (l *Lender) send(eff kqallocation.SendReport) {
	ctx, cancel := context.WithTimeout(l.ctx, reportLimit)
	defer cancel()
	sent := l.cfg.Clock.Now()
	var loan kqallocation.Lease
	if err := l.cfg.Link.Call(ctx, eff.To, MethodReport, eff.Report, &loan); err != nil {
		return // the next report asks again
	}
	l.mu.Lock()
	effects := l.allot.Reduce(l.cfg.Clock.Now(), kqallocation.LeaseReceived{From: eff.To, Sent: sent, Lease: loan})
	l.mu.Unlock()
	l.perform(effects)
}

// Answer handles a report of another host.
func (l *Lender) Answer(peer string, body json.RawMessage) (any, error) {
	var r kqallocation.Report
	if err := json.Unmarshal(body, &r); err != nil || r.From != peer {
		return nil, errors.Newf("lend: report of %s is malformed", peer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, eff := range l.allot.Reduce(l.cfg.Clock.Now(), kqallocation.ReportReceived{Report: r}) {
		if reply, ok := eff.(kqallocation.Reply); ok {
			return reply.Lease, nil
		}
	}
	return nil, errors.New("lend: no reply")
}
