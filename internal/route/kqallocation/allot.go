package kqallocation

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
type grantedLease struct {
	token     uint64
	expiresAt time.Time
	fractions map[Key]float64
}

// member is what the allocator knows of one host.
type hostState struct {
	demands       map[Key]Demand
	tokenIssuedAt time.Time      // when its newest echoed token was issued
	leases        []grantedLease // that the host may still act on, by token
}

// settle forgets the loans that are over, and those that a later one, which the
// host has echoed, has replaced there.
func (m *hostState) pruneLeases(now time.Time, echoed uint64) {
	last := uint64(0)
	for _, l := range m.leases {
		if l.token <= echoed {
			last = max(last, l.token)
		}
	}
	m.leases = slices.DeleteFunc(m.leases, func(l grantedLease) bool { return l.token < last || !now.Before(l.expiresAt) })
}

// holds returns the most of a key that the host may act on now.
func (m *hostState) leasedFraction(k Key, now time.Time) float64 {
	most := 0.0
	for _, l := range m.leases {
		if now.Before(l.expiresAt) {
			most = max(most, l.fractions[k])
		}
	}
	return most
}

// Allot is the reducer of one host, which may be the allocator too.
type Reducer struct {
	cfg     Config
	started time.Time
	epoch   uint64
	hosts   []string
	effects []Effect

	// As a host that asks.
	allocatorHost string
	promisedUntil time.Time // until when no other allocator is asked
	lastToken     uint64    // newest token of the backed allocator
	shares        map[Key]float64
	leaseEnd      time.Time

	// As the allocator.
	lastIssued uint64
	issuedAt   map[uint64]time.Time
	hostStates map[string]*hostState
}

// New returns the Allot of a host that starts now.
func New(cfg Config, now time.Time) *Reducer {
	return &Reducer{
		cfg: cfg, started: now, promisedUntil: now.Add(promiseDuration), shares: map[Key]float64{},
		issuedAt: map[uint64]time.Time{}, hostStates: map[string]*hostState{},
	}
}

// Reduce handles one event.
func (a *Reducer) Reduce(now time.Time, ev Event) []Effect {
	a.effects = nil
	switch ev := ev.(type) {
	case HostsChanged:
		if ev.Epoch > a.epoch {
			a.epoch, a.hosts = ev.Epoch, slices.Clone(ev.Hosts)
			a.emit(SharesChanged{})
		}
	case Tick:
		a.tick(now, ev)
	case ReportReceived:
		a.emit(Reply{a.handleReport(now, ev.Report)})
	case LeaseReceived:
		a.handleLease(ev)
	}
	return a.effects
}

func (a *Reducer) emit(e Effect) {
	a.effects = append(a.effects, e)
}

// Part returns the part of a limit that this host may use now.
func (a *Reducer) Fraction(k Key, now time.Time) float64 {
	n := len(a.hosts)
	if n == 0 {
		return 0
	}
	if n == 1 {
		return 1
	}
	part := fixedTotal / float64(n)
	if now.Before(a.leaseEnd) {
		part += a.shares[k]
	}
	return part
}

// Expiry returns until when the lent parts may be used.
func (a *Reducer) LeaseEnd() time.Time {
	return a.leaseEnd
}

// allocator returns the first reachable host in an order that all hosts share.
func (a *Reducer) chooseAllocator(up map[string]bool) string {
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
func (a *Reducer) tick(now time.Time, ev Tick) {
	if len(a.hosts) < 2 {
		return
	}
	if !now.Before(a.leaseEnd) && len(a.shares) > 0 {
		a.shares = map[Key]float64{}
		a.emit(SharesChanged{})
	}
	next := a.chooseAllocator(ev.Reachable)
	if next == "" {
		return
	}
	if next != a.allocatorHost {
		if now.Before(a.promisedUntil) {
			return
		}
		a.allocatorHost, a.lastToken = next, 0
	}
	a.promisedUntil = now.Add(promiseDuration)
	a.emit(SendReport{To: next, Report: Report{From: a.cfg.Host, Epoch: a.epoch, Token: a.lastToken, Demands: ev.Demands}})
}

// lent takes the answer of the allocator that is still backed. A token taken
// says that its loan has replaced all earlier ones.
func (a *Reducer) handleLease(ev LeaseReceived) {
	if ev.From != a.allocatorHost || ev.Lease.Token <= a.lastToken {
		return
	}
	first := a.lastToken == 0
	a.lastToken = ev.Lease.Token
	if first {
		a.emit(TickNow{})
	}
	if ev.Lease.TTL == 0 {
		return
	}
	a.leaseEnd = ev.Sent.Add(ev.Lease.TTL - leaseMargin)
	a.shares = make(map[Key]float64, len(ev.Lease.Shares))
	for _, s := range ev.Lease.Shares {
		a.shares[s.Key] = s.Fraction
	}
	a.emit(SharesChanged{})
}

// reported takes a report as allocator and lends what it may.
func (a *Reducer) handleReport(now time.Time, r Report) Lease {
	if r.Epoch != a.epoch || !slices.Contains(a.hosts, r.From) {
		return Lease{}
	}
	m := a.hostStates[r.From]
	if m == nil {
		m = &hostState{}
		a.hostStates[r.From] = m
	}
	if at, ok := a.issuedAt[r.Token]; ok && at.After(m.tokenIssuedAt) {
		m.tokenIssuedAt = at
	}
	m.pruneLeases(now, r.Token)
	m.demands = make(map[Key]Demand, len(r.Demands))
	for _, d := range r.Demands {
		m.demands[d.Key] = d
	}
	out := Lease{Token: a.issueToken(now)}
	out.TTL = min(maxLeaseDuration, a.majorityPromisedUntil(now).Sub(now))
	if out.TTL <= 0 || now.Sub(a.started) < promiseDuration {
		out.TTL = 0
		return out
	}
	out.Shares = a.computeShares(now, r.From)
	l := grantedLease{token: out.Token, expiresAt: now.Add(out.TTL), fractions: map[Key]float64{}}
	for _, s := range out.Shares {
		l.fractions[s.Key] = s.Fraction
	}
	m.leases = append(m.leases, l)
	return out
}

// issue makes a token whose time only this host knows.
func (a *Reducer) issueToken(now time.Time) uint64 {
	if a.lastIssued == 0 {
		a.lastIssued = uint64(a.started.UnixNano()) // no token of an earlier start is taken for one of this
	}
	a.lastIssued++
	a.issuedAt[a.lastIssued] = now
	for t, at := range a.issuedAt {
		if now.Sub(at) > tokenLifetime {
			delete(a.issuedAt, t)
		}
	}
	return a.lastIssued
}

// leads returns until when a majority of the hosts surely asks nobody else.
func (a *Reducer) majorityPromisedUntil(now time.Time) time.Time {
	var ends []time.Time
	for _, h := range a.hosts {
		if m := a.hostStates[h]; m != nil && !m.tokenIssuedAt.IsZero() {
			ends = append(ends, m.tokenIssuedAt.Add(tokenLifetime))
		}
	}
	need := len(a.hosts)/2 + 1
	if len(ends) < need {
		return now
	}
	slices.SortFunc(ends, func(x, y time.Time) int { return y.Compare(x) })
	return ends[need-1]
}
