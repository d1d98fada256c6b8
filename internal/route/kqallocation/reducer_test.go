package kqallocation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	seeds     = flag.Int("seeds", 60, "number of seeded simulations to run")
	firstSeed = flag.Uint64("first", 1, "first seed")
)

const (
	stepDuration    = 25 * time.Millisecond
	simulationSteps = 1600 // 40 s
	tolerance       = 1e-9
)

// Mutations that break the allocator, to show that the simulation detects it.
const (
	noQuorum = "grants leases without a majority"
	noWait   = "grants leases right after a restart"
)

type packet struct {
	at       time.Time
	from, to string
	sent     time.Time
	report   *Report
	lease    *Lease
}

// simulation runs five hosts over a network with delays, lost messages and
// partitions.
type simulation struct {
	rng         *rand.Rand
	mutation    string
	now         time.Time
	names       []string
	hosts       map[string]*Reducer
	demand      map[string]float64
	nextTick    map[string]time.Time
	partitioned map[string]bool
	inFlight    []packet
	faultFree   bool
}

var key = Key{"owner", "service"}

func newSimulation(seed uint64, mutation string) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), mutation: mutation, now: time.Unix(1_700_000_000, 0),
		hosts: map[string]*Reducer{}, demand: map[string]float64{}, nextTick: map[string]time.Time{}, partitioned: map[string]bool{},
	}
	for i := range 5 {
		s.names = append(s.names, fmt.Sprintf("e%d", i))
	}
	for _, n := range s.names {
		s.start(n)
	}
	return s
}

func (s *simulation) start(name string) {
	started := s.now
	if s.mutation == noWait {
		started = s.now.Add(-time.Hour)
	}
	a := New(Config{Host: name, Preferred: func(string) []string { return s.names[:2] }}, started)
	if s.mutation == noWait {
		a.promisedUntil = s.now
	}
	a.Reduce(s.now, HostsChanged{Epoch: 1, Hosts: s.names})
	s.hosts[name] = a
	s.nextTick[name] = s.now
}

func (s *simulation) reachable(a, b string) bool {
	return a == b || !s.partitioned[a] && !s.partitioned[b]
}

func (s *simulation) step() {
	s.now = s.now.Add(stepDuration)
	if !s.faultFree {
		s.injectFault()
	}
	due := s.inFlight
	s.inFlight = nil
	for _, p := range due {
		if p.at.After(s.now) {
			s.inFlight = append(s.inFlight, p)
			continue
		}
		s.deliver(p)
	}
	for _, n := range s.names {
		if s.now.Before(s.nextTick[n]) {
			continue
		}
		s.nextTick[n] = s.now.Add(ReportInterval)
		reachable := map[string]bool{}
		for _, o := range s.names {
			reachable[o] = s.reachable(n, o)
		}
		s.perform(n, s.hosts[n].Reduce(s.now, Tick{Reachable: reachable, Demands: []Demand{{Key: key, Want: s.demand[n]}}}))
	}
}

func (s *simulation) perform(n string, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendReport:
			s.send(packet{from: n, to: e.To, sent: s.now, report: &e.Report})
		case TickNow:
			s.nextTick[n] = s.now
		}
	}
}

func (s *simulation) send(p packet) {
	if !s.reachable(p.from, p.to) {
		return
	}
	p.at = s.now.Add(time.Duration(s.rng.IntN(30)) * time.Millisecond)
	if !s.faultFree && s.rng.IntN(15) == 0 {
		p.at = p.at.Add(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
	}
	s.inFlight = append(s.inFlight, p)
}

func (s *simulation) deliver(p packet) {
	if p.lease != nil {
		s.perform(p.to, s.hosts[p.to].Reduce(s.now, LeaseReceived{From: p.from, Sent: p.sent, Lease: *p.lease}))
		return
	}
	a := s.hosts[p.to]
	if s.mutation == noQuorum {
		for _, n := range s.names {
			a.hostStates[n] = &hostState{tokenIssuedAt: s.now}
		}
	}
	for _, e := range a.Reduce(s.now, ReportReceived{Report: *p.report}) {
		if r, ok := e.(Reply); ok {
			s.send(packet{from: p.to, to: p.from, sent: p.sent, lease: &r.Lease})
		}
	}
}

func (s *simulation) injectFault() {
	n := s.names[s.rng.IntN(len(s.names))]
	switch s.rng.IntN(80) {
	case 0:
		s.start(n) // crashes and restarts at once
		s.inFlight = slices.DeleteFunc(s.inFlight, func(p packet) bool { return p.to == n && p.lease != nil })
	case 1:
		s.partitioned[n] = true
	case 2, 3:
		delete(s.partitioned, n)
	case 4:
		s.demand[n] = s.rng.Float64() * 1.5
	case 5:
		s.demand[n] = 0
	}
}

func (s *simulation) fractionInUse() float64 {
	sum := 0.0
	for _, n := range s.names {
		sum += s.hosts[n].Fraction(key, s.now)
	}
	return sum
}

// maxFractionInUse runs one simulation and returns the highest sum of the
// fractions that all hosts may use at one time.
func maxFractionInUse(seed uint64, mutation string) float64 {
	s := newSimulation(seed, mutation)
	highest := 0.0
	for range simulationSteps {
		s.step()
		highest = max(highest, s.fractionInUse())
	}
	return highest
}

func TestSumNeverExceedsTheLimit(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		if highest := maxFractionInUse(seed, ""); highest > 1+tolerance {
			t.Fatalf("seed %d: the hosts together may use %.3f of the limit", seed, highest)
		}
	}
}

func TestMutatedAllocatorsAreDetected(t *testing.T) {
	for _, m := range []string{noQuorum, noWait} {
		t.Run(m, func(t *testing.T) {
			for seed := uint64(1); seed < 500; seed++ {
				if highest := maxFractionInUse(seed, m); highest > 1+tolerance {
					t.Logf("detected by seed %d: %.3f of the limit", seed, highest)
					return
				}
			}
			t.Fatal("mutation not detected by any seed")
		})
	}
}

// TestDemandAtOneHost checks that a host with all of the demand can use nine
// tenths of the limit within 3 s.
func TestDemandAtOneHost(t *testing.T) {
	s := newSimulation(1, "")
	s.faultFree = true
	for range 400 {
		s.step()
	}
	s.demand["e3"] = 1
	for range int(3 * time.Second / stepDuration) {
		s.step()
	}
	if fraction := s.hosts["e3"].Fraction(key, s.now); fraction < 0.9 {
		t.Fatalf("%.3f of the limit is usable at the host with all demand", fraction)
	}
}
