package kqreplica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqjournal"
)

// slowGroup is five voters whose messages take a while: hosts that share a busy
// machine, or whose disks are slow.
type delayedGroup struct {
	names       []string
	replicas    map[string]*Replica
	queue       []packet
	tick        int
	rng         *rand.Rand
	delay       int                   // ticks that a message takes at the least
	spread      int                   // ticks more, at random
	readResults map[string]ReadResult // answers to reads, by their IDs
	linksUp     map[[2]string]bool    // links, nil: all
}

func newDelayedGroup(t *testing.T, seed uint64, delay, spread int) *delayedGroup {
	t.Helper()
	g := &delayedGroup{
		names: []string{"a", "b", "c", "d", "e"}, replicas: map[string]*Replica{}, readResults: map[string]ReadResult{},
		rng: rand.New(rand.NewPCG(seed, 2)), delay: delay, spread: spread,
	}
	var list []Member
	for _, n := range g.names {
		list = append(list, testMember(n, true))
	}
	for _, n := range g.names {
		r, effects, err := New(Config{
			Host: n, Hosts: []MemberSpec{memberSpec("a"), memberSpec("b"), memberSpec("c")}, Token: n, Cluster: "k",
			Machine: &testMachine{state: kqcontract.NewState()}, Rand: g.rng, OpenMembership: true, Tolerance: 2,
			Loaded: kqjournal.Loaded{
				Meta:    kqjournal.Meta{Cluster: "k", Incarnation: "i-" + n, Term: 3},
				Entries: []kqjournal.Entry{{Index: 1, Term: 3, Kind: entryMembers, Data: encodeMembers(list)}},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		g.replicas[n] = r
		g.perform(n, effects)
	}
	return g
}

func (g *delayedGroup) perform(host string, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			if g.linksUp != nil && !g.linksUp[[2]string{host, e.To}] {
				continue // there is no link yet
			}
			g.queue = append(g.queue, packet{from: host, to: e.To, at: g.tick + g.delay + g.rng.IntN(g.spread+1), m: e.Message})
		case ReadResult:
			g.readResults[e.ID] = e
		}
	}
}

func (g *delayedGroup) step() {
	g.tick++
	rest := g.queue
	g.queue = nil
	for _, p := range rest {
		if p.at > g.tick {
			g.queue = append(g.queue, p)
			continue
		}
		g.perform(p.to, g.replicas[p.to].Reduce(time.Time{}, Received{From: p.from, Message: p.m}))
	}
	for _, n := range g.names {
		g.perform(n, g.replicas[n].Reduce(time.Time{}, Tick{}))
	}
}

// led reports whether all follow one leader.
func (g *delayedGroup) hasLeader() bool {
	leader := g.replicas["a"].leader
	for _, r := range g.replicas {
		if r.leader != leader || leader == "" {
			return false
		}
	}
	return true
}

// TestSlowMessagesElectALeader: votes that come later than the first pause
// between two pre-votes must still make a leader, within ten seconds.
func TestDelayedMessagesElectLeader(t *testing.T) {
	const limit = 10 * time.Second / TickInterval
	for _, c := range []struct{ delay, spread int }{{0, 0}, {1, 1}, {3, 3}, {5, 3}, {6, 6}} {
		t.Run(fmt.Sprintf("%d to %d ticks", c.delay, c.delay+c.spread), func(t *testing.T) {
			worst := 0
			for seed := range uint64(50) {
				g := newDelayedGroup(t, seed, c.delay, c.spread)
				for !g.hasLeader() {
					if g.step(); g.tick > int(limit) {
						t.Fatalf("seed %d: no leader after %v", seed, limit*TickInterval)
					}
				}
				worst = max(worst, g.tick)
			}
			t.Logf("the slowest of 50 took %v", time.Duration(worst)*TickInterval)
		})
	}
}
