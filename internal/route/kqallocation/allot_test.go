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
	seeds     = flag.Int("seeds", 60, "seeded stories to check")
	firstSeed = flag.Uint64("first", 1, "first seed")
)

const (
	stepDuration    = 25 * time.Millisecond
	simulationSteps = 1600 // 40 s
	tolerance       = 1e-9
)

// mutations break the allocator on purpose.
const (
	noQuorum = "lends without a majority"
	noWait   = "lends right after a restart"
)

type packet struct {
	at       time.Time
	from, to string
	sent     time.Time
	report   *Report
	lease    *Lease
}

// story runs a few hosts over a network that delays, loses and cuts.
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

func newSimulation(seed uint64, mutant string) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), mutation: mutant, now: time.Unix(1_700_000_000, 0),
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
		up := map[string]bool{}
		for _, o := range s.names {
			up[o] = s.reachable(n, o)
		}
		s.perform(n, s.hosts[n].Reduce(s.now, Tick{Reachable: up, Demands: []Demand{{Key: key, Want: s.demand[n]}}}))
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
		s.start(n) // a crash and a restart at once
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

// check plays one seed and returns the highest sum of all parts in use.
func maxFractionInUse(seed uint64, mutant string) float64 {
	s := newSimulation(seed, mutant)
	most := 0.0
	for range simulationSteps {
		s.step()
		most = max(most, s.fractionInUse())
	}
	return most
}

func TestSumNeverExceedsTheLimit(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		if most := maxFractionInUse(seed, ""); most > 1+tolerance {
			t.Fatalf("seed %d: the hosts may use %.3f of the limit", seed, most)
		}
	}
}

func TestMutatedAllocatorsAreDetected(t *testing.T) {
	for _, m := range []string{noQuorum, noWait} {
		t.Run(m, func(t *testing.T) {
			for seed := uint64(1); seed < 500; seed++ {
				if most := maxFractionInUse(seed, m); most > 1+tolerance {
					t.Logf("caught by seed %d: %.3f of the limit", seed, most)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

// TestDemandAtOneHost holds that nine tenths of a limit are usable there.
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
	if part := s.hosts["e3"].Fraction(key, s.now); part < 0.9 {
		t.Fatalf("%.3f of the limit is usable at the host with all demand", part)
	}
}
