package kqallocation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the settings of a Reducer.
type Config struct {
	Host string
	// Preferred returns the entry hosts that callers of a service are sent to.
	// The part of a limit that no host demands is leased to them in advance.
	Preferred func(service string) []string
}

// grantedLease is a lease as the allocator granted it to one host in one reply.
type grantedLease struct {
	token     uint64
	expiresAt time.Time
	fractions map[Key]float64
}

// hostState is what the allocator knows about one host.
type hostState struct {
	demands       map[Key]Demand
	tokenIssuedAt time.Time      // when the newest token that the host echoed was issued
	leases        []grantedLease // leases that the host may still use, in the order of their tokens
}

// pruneLeases removes expired leases. It also removes every lease that is older
// than the newest one whose token the host has echoed, because the host replaces
// its lease when it accepts a newer one.
func (m *hostState) pruneLeases(now time.Time, echoed uint64) {
	last := uint64(0)
	for _, l := range m.leases {
		if l.token <= echoed {
			last = max(last, l.token)
		}
	}
	m.leases = slices.DeleteFunc(m.leases, func(l grantedLease) bool { return l.token < last || !now.Before(l.expiresAt) })
}

// leasedFraction returns the largest fraction of a key's limit that any lease
// still allows the host to use. It is not known which of the leases reached the
// host.
func (m *hostState) leasedFraction(k Key, now time.Time) float64 {
	highest := 0.0
	for _, l := range m.leases {
		if now.Before(l.expiresAt) {
			highest = max(highest, l.fractions[k])
		}
	}
	return highest
}

// Reducer is the state of one entry host, which may also be the allocator, the host that
// leases fractions of the limits to all entry hosts.
type Reducer struct {
	cfg     Config
	started time.Time
	epoch   uint64
	hosts   []string
	effects []Effect

	// State as a host that reports to the allocator.
	allocatorHost string
	promisedUntil time.Time // until then the host reports to no other allocator
	lastToken     uint64    // newest token received from allocatorHost
	shares        map[Key]float64
	leaseEnd      time.Time

	// State as the allocator.
	lastIssued uint64
	issuedAt   map[uint64]time.Time
	hostStates map[string]*hostState
}

// New returns the Reducer of a host that starts at now.
func New(cfg Config, now time.Time) *Reducer {
	return &Reducer{
		cfg: cfg, started: now, promisedUntil: now.Add(promiseDuration), shares: map[Key]float64{},
		issuedAt: map[uint64]time.Time{}, hostStates: map[string]*hostState{},
	}
}

// Reduce applies one event and returns the effects to carry out, in order.
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

// Fraction returns the fraction of a limit, 0 to 1, that this host may use now: an equal
// part of fixedTotal, and what the allocator leases to it.
func (a *Reducer) Fraction(k Key, now time.Time) float64 {
	n := len(a.hosts)
	if n == 0 {
		return 0
	}
	if n == 1 {
		return 1
	}
	fraction := fixedTotal / float64(n)
	if now.Before(a.leaseEnd) {
		fraction += a.shares[k]
	}
	return fraction
}

// LeaseEnd returns the time at which this host must stop using its leased shares.
func (a *Reducer) LeaseEnd() time.Time {
	return a.leaseEnd
}

// chooseAllocator returns the first reachable host in a hash order that is the
// same on all hosts, or "" if none is reachable.
func (a *Reducer) chooseAllocator(reachable map[string]bool) string {
	order := slices.Clone(a.hosts)
	rank := func(h string) uint64 { return xxhash.Sum64String("allocator|" + h) }
	slices.SortFunc(order, func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
	for _, h := range order {
		if h == a.cfg.Host || reachable[h] {
			return h
		}
	}
	return ""
}

// tick drops expired shares and reports to the allocator. The host reports to
// another allocator only after its promise to the previous one has expired.
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

// handleLease accepts a lease from the current allocator and ignores any other.
// Echoing the token of an accepted lease tells the allocator that the lease has
// replaced all earlier ones.
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

// handleReport records a host's report and grants it a lease. The lease has no
// shares unless a majority of the hosts has promised to report to no other
// allocator. It has none either during the first promiseDuration after a start,
// when leases from before a restart may still be in use.
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

// issueToken returns a new token and records when it was issued. Tokens older
// than tokenLifetime are forgotten.
func (a *Reducer) issueToken(now time.Time) uint64 {
	if a.lastIssued == 0 {
		a.lastIssued = uint64(a.started.UnixNano()) // tokens from before a restart must not match new ones
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

// majorityPromisedUntil returns the time until which a majority of the hosts is
// known to report to no other allocator, or now if there is no such majority. It counts
// tokenLifetime from the issue of a token that a host has echoed: the host keeps its
// promise slightly longer, for promiseDuration.
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
