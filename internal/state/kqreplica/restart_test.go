package kqreplica

import (
	"slices"
	"testing"
	"time"
)

// linkAll tells every replica of its links to all others, in random order, as
// after a start of all hosts at the same moment.
func (g *delayedGroup) linkAll() {
	var pairs [][2]string
	for _, a := range g.names {
		for _, b := range g.names {
			if a != b {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	g.rng.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	for _, p := range pairs {
		g.perform(p[0], g.replicas[p[0]].Reduce(time.Time{}, LinkUp{Peer: p[1]}))
	}
}

// deliver passes messages on, in random order between the links, until none is
// under way; no time passes.
func (g *delayedGroup) deliver() {
	for len(g.queue) > 0 {
		i := g.rng.IntN(len(g.queue))
		p := g.queue[i]
		i = slices.IndexFunc(g.queue, func(q packet) bool { return q.from == p.from && q.to == p.to })
		p = g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		g.perform(p.to, g.replicas[p.to].Reduce(time.Time{}, Received{From: p.from, Message: p.m}))
	}
}

// TestHostsThatStartTogetherElectAtOnce: after all processes were killed, every
// tenth of a second until there is a leader is one in which no caller is served.
func TestHostsStartedTogetherElectAtOnce(t *testing.T) {
	const groups, mostLate, limit = 400, 8, time.Second / TickInterval
	late := 0
	for seed := range uint64(groups) {
		g := newDelayedGroup(t, seed, 0, 0)
		g.linkAll()
		g.deliver()
		if !g.hasLeader() {
			late++
		}
		for !g.hasLeader() {
			if g.step(); g.tick > int(limit) {
				t.Fatalf("seed %d: no leader after %v", seed, limit*TickInterval)
			}
		}
	}
	if late > mostLate {
		t.Errorf("%d of %d groups had no leader before the first tick, at most %d", late, groups, mostLate)
	}
}

// TestThreeOfFiveThatStartTogether: two data folders were lost and all hosts lost
// power. Each of the three others is needed, and what is sent before a link is up
// is lost.
func TestThreeOfFiveStartedTogetherElectAtOnce(t *testing.T) {
	const groups, mostLate = 400, 40
	late := 0
	for seed := range uint64(groups) {
		g := newDelayedGroup(t, seed, 0, 0)
		g.linksUp = map[[2]string]bool{}
		lost := g.rng.Perm(len(g.names))[:2]
		live := slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return n == g.names[lost[0]] || n == g.names[lost[1]] })
		// The lost ones are linked too, but have nothing to vote by.
		g.linkPairs(func(a, b string) bool { return slices.Contains(live, a) || slices.Contains(live, b) })
		g.deliver()
		leader := g.replicas[live[0]].leader
		for _, n := range live {
			if l := g.replicas[n].leader; l != leader || leader == "" {
				late++
				break
			}
		}
	}
	if late > mostLate {
		t.Errorf("%d of %d groups had no leader before the first tick, at most %d", late, groups, mostLate)
	}
}

// linkPairs brings up the links in random order, each at both ends, with messages
// on their way meanwhile.
func (g *delayedGroup) linkPairs(wanted func(a, b string) bool) {
	blank := func(n string) bool { return !wanted(n, n) }
	var pairs [][2]string
	for i, a := range g.names {
		for _, b := range g.names[i+1:] {
			if wanted(a, b) {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	g.rng.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	for _, p := range pairs {
		g.linksUp[p], g.linksUp[[2]string{p[1], p[0]}] = !blank(p[1]), !blank(p[0])
		for i, n := range p {
			if !blank(n) {
				g.perform(n, g.replicas[n].Reduce(time.Time{}, LinkUp{Peer: p[1-i]}))
			}
		}
		if g.rng.IntN(2) == 0 {
			g.deliver()
		}
	}
}

// TestReadBeforeTheElection: an entry host that subscribes while there is no
// leader is answered as soon as there is one, not refused.
func TestReadBeforeElectionIsAnsweredAfterIt(t *testing.T) {
	for _, host := range []string{"a", "e"} {
		g := newDelayedGroup(t, 1, 0, 0)
		for _, e := range g.replicas[host].Reduce(time.Time{}, Read{ID: "q"}) {
			if _, ok := e.(ReadResult); ok {
				t.Fatalf("%s is refused at once", host)
			}
		}
		g.linkAll()
		g.deliver()
		answer := g.readResults["q"]
		if !answer.OK || answer.Index == 0 {
			t.Errorf("%s got %+v", host, answer)
		}
	}
}

// TestReadWithoutLeaderEnds: it is refused after a while where no leader comes.
func TestReadWithoutLeaderExpires(t *testing.T) {
	g := newDelayedGroup(t, 1, 0, 0)
	g.perform("a", g.replicas["a"].Reduce(time.Time{}, Read{ID: "q"}))
	for range readTimeoutTicks + 1 {
		g.perform("a", g.replicas["a"].Reduce(time.Time{}, Tick{}))
	}
	if answer, ok := g.readResults["q"]; !ok || answer.OK {
		t.Errorf("answer %+v, %v", answer, ok)
	}
}
