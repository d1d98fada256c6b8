package kqallot

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
	slot       = 25 * time.Millisecond
	storySlots = 1600 // 40 s
	tolerance  = 1e-9
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
	loan     *Loan
}

// story runs a few hosts over a network that delays, loses and cuts.
type story struct {
	rng    *rand.Rand
	mutant string
	now    time.Time
	names  []string
	hosts  map[string]*Allot
	want   map[string]float64
	next   map[string]time.Time
	cut    map[string]bool
	queue  []packet
	calm   bool
}

var key = Key{"owner", "service"}

func newStory(seed uint64, mutant string) *story {
	s := &story{
		rng: rand.New(rand.NewPCG(seed, 7)), mutant: mutant, now: time.Unix(1_700_000_000, 0),
		hosts: map[string]*Allot{}, want: map[string]float64{}, next: map[string]time.Time{}, cut: map[string]bool{},
	}
	for i := range 5 {
		s.names = append(s.names, fmt.Sprintf("e%d", i))
	}
	for _, n := range s.names {
		s.start(n)
	}
	return s
}

func (s *story) start(name string) {
	started := s.now
	if s.mutant == noWait {
		started = s.now.Add(-time.Hour)
	}
	a := New(Config{Host: name, Preferred: func(string) []string { return s.names[:2] }}, started)
	if s.mutant == noWait {
		a.promised = s.now
	}
	a.Reduce(s.now, Listed{Epoch: 1, Hosts: s.names})
	s.hosts[name] = a
	s.next[name] = s.now
}

func (s *story) reach(a, b string) bool {
	return a == b || !s.cut[a] && !s.cut[b]
}

func (s *story) step() {
	s.now = s.now.Add(slot)
	if !s.calm {
		s.faults()
	}
	due := s.queue
	s.queue = nil
	for _, p := range due {
		if p.at.After(s.now) {
			s.queue = append(s.queue, p)
			continue
		}
		s.deliver(p)
	}
	for _, n := range s.names {
		if s.now.Before(s.next[n]) {
			continue
		}
		s.next[n] = s.now.Add(ReportEvery)
		up := map[string]bool{}
		for _, o := range s.names {
			up[o] = s.reach(n, o)
		}
		s.perform(n, s.hosts[n].Reduce(s.now, Tick{Up: up, Demands: []Demand{{Key: key, Want: s.want[n]}}}))
	}
}

func (s *story) perform(n string, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			s.send(packet{from: n, to: e.To, sent: s.now, report: &e.Report})
		case Again:
			s.next[n] = s.now
		}
	}
}

func (s *story) send(p packet) {
	if !s.reach(p.from, p.to) {
		return
	}
	p.at = s.now.Add(time.Duration(s.rng.IntN(30)) * time.Millisecond)
	if !s.calm && s.rng.IntN(15) == 0 {
		p.at = p.at.Add(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
	}
	s.queue = append(s.queue, p)
}

func (s *story) deliver(p packet) {
	if p.loan != nil {
		s.perform(p.to, s.hosts[p.to].Reduce(s.now, Lent{From: p.from, Sent: p.sent, Loan: *p.loan}))
		return
	}
	a := s.hosts[p.to]
	if s.mutant == noQuorum {
		for _, n := range s.names {
			a.members[n] = &member{proved: s.now}
		}
	}
	for _, e := range a.Reduce(s.now, Reported{Report: *p.report}) {
		if r, ok := e.(Reply); ok {
			s.send(packet{from: p.to, to: p.from, sent: p.sent, loan: &r.Loan})
		}
	}
}

func (s *story) faults() {
	n := s.names[s.rng.IntN(len(s.names))]
	switch s.rng.IntN(80) {
	case 0:
		s.start(n) // a crash and a restart at once
		s.queue = slices.DeleteFunc(s.queue, func(p packet) bool { return p.to == n && p.loan != nil })
	case 1:
		s.cut[n] = true
	case 2, 3:
		delete(s.cut, n)
	case 4:
		s.want[n] = s.rng.Float64() * 1.5
	case 5:
		s.want[n] = 0
	}
}

func (s *story) sum() float64 {
	sum := 0.0
	for _, n := range s.names {
		sum += s.hosts[n].Part(key, s.now)
	}
	return sum
}

// check plays one seed and returns the highest sum of all parts in use.
func check(seed uint64, mutant string) float64 {
	s := newStory(seed, mutant)
	most := 0.0
	for range storySlots {
		s.step()
		most = max(most, s.sum())
	}
	return most
}

func TestSumNeverExceedsTheLimit(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		if most := check(seed, ""); most > 1+tolerance {
			t.Fatalf("seed %d: the hosts may use %.3f of the limit", seed, most)
		}
	}
}

func TestBrokenAllocatorsAreCaught(t *testing.T) {
	for _, m := range []string{noQuorum, noWait} {
		t.Run(m, func(t *testing.T) {
			for seed := uint64(1); seed < 500; seed++ {
				if most := check(seed, m); most > 1+tolerance {
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
	s := newStory(1, "")
	s.calm = true
	for range 400 {
		s.step()
	}
	s.want["e3"] = 1
	for range int(3 * time.Second / slot) {
		s.step()
	}
	if part := s.hosts["e3"].Part(key, s.now); part < 0.9 {
		t.Fatalf("%.3f of the limit is usable at the host with all demand", part)
	}
}
