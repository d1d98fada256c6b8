package kqallot

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config constructs an Allot.
type Config struct {
	Host string
	// Preferred returns the hosts that callers of a service are sent to: what
	// nobody needs is lent to them beforehand.
	Preferred func(service string) []string
}

// loan is what the allocator has lent to one host with one answer.
type loan struct {
	token uint64
	until time.Time
	parts map[Key]float64
}

// member is what the allocator knows of one host.
type member struct {
	demands map[Key]Demand
	proved  time.Time // when its newest echoed token was issued
	loans   []loan    // that the host may still act on, by token
}

// settle forgets the loans that are over, and those that a later one, which the
// host has echoed, has replaced there.
func (m *member) settle(now time.Time, echoed uint64) {
	last := uint64(0)
	for _, l := range m.loans {
		if l.token <= echoed {
			last = max(last, l.token)
		}
	}
	m.loans = slices.DeleteFunc(m.loans, func(l loan) bool { return l.token < last || !now.Before(l.until) })
}

// holds returns the most of a key that the host may act on now.
func (m *member) holds(k Key, now time.Time) float64 {
	most := 0.0
	for _, l := range m.loans {
		if now.Before(l.until) {
			most = max(most, l.parts[k])
		}
	}
	return most
}

// Allot is the reducer of one host, which may be the allocator too.
type Allot struct {
	cfg     Config
	started time.Time
	epoch   uint64
	hosts   []string
	effects []Effect

	// As a host that asks.
	backs    string
	promised time.Time // until when no other allocator is asked
	token    uint64    // newest token of the backed allocator
	shares   map[Key]float64
	until    time.Time

	// As the allocator.
	nextToken uint64
	issued    map[uint64]time.Time
	members   map[string]*member
}

// New returns the Allot of a host that starts now.
func New(cfg Config, now time.Time) *Allot {
	return &Allot{
		cfg: cfg, started: now, promised: now.Add(promiseTime), shares: map[Key]float64{},
		issued: map[uint64]time.Time{}, members: map[string]*member{},
	}
}

// Reduce handles one event.
func (a *Allot) Reduce(now time.Time, ev Event) []Effect {
	a.effects = nil
	switch ev := ev.(type) {
	case Listed:
		if ev.Epoch > a.epoch {
			a.epoch, a.hosts = ev.Epoch, slices.Clone(ev.Hosts)
			a.emit(Changed{})
		}
	case Tick:
		a.tick(now, ev)
	case Reported:
		a.emit(Reply{a.reported(now, ev.Report)})
	case Lent:
		a.lent(ev)
	}
	return a.effects
}

func (a *Allot) emit(e Effect) {
	a.effects = append(a.effects, e)
}

// Part returns the part of a limit that this host may use now.
func (a *Allot) Part(k Key, now time.Time) float64 {
	n := len(a.hosts)
	if n == 0 {
		return 0
	}
	if n == 1 {
		return 1
	}
	part := fixedPart / float64(n)
	if now.Before(a.until) {
		part += a.shares[k]
	}
	return part
}

// Expiry returns until when the lent parts may be used.
func (a *Allot) Expiry() time.Time {
	return a.until
}

// allocator returns the first reachable host in an order that all hosts share.
func (a *Allot) allocator(up map[string]bool) string {
	order := slices.Clone(a.hosts)
	rank := func(h string) uint64 { return xxhash.Sum64String("allocator|" + h) }
	slices.SortFunc(order, func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
	for _, h := range order {
		if h == a.cfg.Host || up[h] {
			return h
		}
	}
	return ""
}

// tick reports to the allocator. Another one is asked only after the promise
// to the last has run out.
func (a *Allot) tick(now time.Time, ev Tick) {
	if len(a.hosts) < 2 {
		return
	}
	if !now.Before(a.until) && len(a.shares) > 0 {
		a.shares = map[Key]float64{}
		a.emit(Changed{})
	}
	next := a.allocator(ev.Up)
	if next == "" {
		return
	}
	if next != a.backs {
		if now.Before(a.promised) {
			return
		}
		a.backs, a.token = next, 0
	}
	a.promised = now.Add(promiseTime)
	a.emit(Send{To: next, Report: Report{From: a.cfg.Host, Epoch: a.epoch, Token: a.token, Demands: ev.Demands}})
}

// lent takes the answer of the allocator that is still backed. A token taken
// says that its loan has replaced all earlier ones.
func (a *Allot) lent(ev Lent) {
	if ev.From != a.backs || ev.Loan.Token <= a.token {
		return
	}
	first := a.token == 0
	a.token = ev.Loan.Token
	if first {
		a.emit(Again{})
	}
	if ev.Loan.TTL == 0 {
		return
	}
	a.until = ev.Sent.Add(ev.Loan.TTL - leaseMargin)
	a.shares = make(map[Key]float64, len(ev.Loan.Shares))
	for _, s := range ev.Loan.Shares {
		a.shares[s.Key] = s.Part
	}
	a.emit(Changed{})
}

// reported takes a report as allocator and lends what it may.
func (a *Allot) reported(now time.Time, r Report) Loan {
	if r.Epoch != a.epoch || !slices.Contains(a.hosts, r.From) {
		return Loan{}
	}
	m := a.members[r.From]
	if m == nil {
		m = &member{}
		a.members[r.From] = m
	}
	if at, ok := a.issued[r.Token]; ok && at.After(m.proved) {
		m.proved = at
	}
	m.settle(now, r.Token)
	m.demands = make(map[Key]Demand, len(r.Demands))
	for _, d := range r.Demands {
		m.demands[d.Key] = d
	}
	out := Loan{Token: a.issue(now)}
	out.TTL = min(leaseTime, a.leads(now).Sub(now))
	if out.TTL <= 0 || now.Sub(a.started) < promiseTime {
		out.TTL = 0
		return out
	}
	out.Shares = a.lend(now, r.From)
	l := loan{token: out.Token, until: now.Add(out.TTL), parts: map[Key]float64{}}
	for _, s := range out.Shares {
		l.parts[s.Key] = s.Part
	}
	m.loans = append(m.loans, l)
	return out
}

// issue makes a token whose time only this host knows.
func (a *Allot) issue(now time.Time) uint64 {
	if a.nextToken == 0 {
		a.nextToken = uint64(a.started.UnixNano()) // no token of an earlier start is taken for one of this
	}
	a.nextToken++
	a.issued[a.nextToken] = now
	for t, at := range a.issued {
		if now.Sub(at) > tokenTime {
			delete(a.issued, t)
		}
	}
	return a.nextToken
}

// leads returns until when a majority of the hosts surely asks nobody else.
func (a *Allot) leads(now time.Time) time.Time {
	var ends []time.Time
	for _, h := range a.hosts {
		if m := a.members[h]; m != nil && !m.proved.IsZero() {
			ends = append(ends, m.proved.Add(tokenTime))
		}
	}
	need := len(a.hosts)/2 + 1
	if len(ends) < need {
		return now
	}
	slices.SortFunc(ends, func(x, y time.Time) int { return y.Compare(x) })
	return ends[need-1]
}
