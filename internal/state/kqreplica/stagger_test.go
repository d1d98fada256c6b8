package kqreplica

import (
	"slices"
	"testing"
	"time"
)

// staggeredStart plays the start of all hosts at different moments, as after a power loss
// of a whole fleet, and returns how many ticks pass from the moment at which a majority
// can talk to each other until it has a leader.
func staggeredStart(t *testing.T, seed uint64, limit int) int {
	const (
		startSpread = 9 // ticks over which the hosts start
		linkSpread  = 2 // ticks in which two running hosts get a link
	)
	g := newDelayedGroup(t, seed, 0, 0)
	g.linksUp = map[[2]string]bool{}
	startAt, linkAt := map[string]int{}, map[[2]string]int{}
	for _, n := range g.names {
		startAt[n] = g.rng.IntN(startSpread)
	}
	for i, a := range g.names {
		for _, b := range g.names[i+1:] {
			linkAt[[2]string{a, b}] = max(startAt[a], startAt[b]) + g.rng.IntN(linkSpread+1)
		}
	}
	ready := -1 // when a majority was linked to each other
	for ; ready < 0 || g.tick-ready <= limit; g.tick++ {
		for _, n := range g.names {
			if startAt[n] <= g.tick {
				g.perform(n, g.replicas[n].Reduce(time.Time{}, Tick{}))
			}
		}
		for i, a := range g.names {
			for _, b := range g.names[i+1:] {
				if linkAt[[2]string{a, b}] != g.tick {
					continue
				}
				g.linksUp[[2]string{a, b}], g.linksUp[[2]string{b, a}] = true, true
				g.perform(a, g.replicas[a].Reduce(time.Time{}, LinkUp{Peer: b}))
				g.perform(b, g.replicas[b].Reduce(time.Time{}, LinkUp{Peer: a}))
				if g.rng.IntN(2) == 0 {
					g.deliver()
				}
			}
		}
		g.deliver()
		if ready < 0 && g.linkedMajority() {
			ready = g.tick
		}
		if slices.ContainsFunc(g.names, func(n string) bool { return g.replicas[n].role == Leader }) {
			if ready < 0 {
				return 0 // one host is linked to two others
			}
			return g.tick - ready
		}
	}
	t.Fatalf("seed %d: no leader %d ticks after a majority was linked", seed, limit)
	return 0
}

// linkedMajority reports whether three hosts are all linked to each other.
func (g *delayedGroup) linkedMajority() bool {
	for i, a := range g.names {
		for j, b := range g.names[i+1:] {
			for _, c := range g.names[i+j+2:] {
				if g.linksUp[[2]string{a, b}] && g.linksUp[[2]string{b, c}] && g.linksUp[[2]string{a, c}] {
					return true
				}
			}
		}
	}
	return false
}

// Guards against a slow election after a power loss, in which hosts come back one by one:
// those that wait for a third one would all ask it at once and split the votes. No caller
// is served until there is a leader.
func TestStaggeredStartElectsAtOnce(t *testing.T) {
	const (
		groups  = 1000
		atOnce  = 1                                   // ticks
		maxLate = groups / 50                         // groups that take longer
		limit   = int(2 * time.Second / TickInterval) // no group may take longer
	)
	late, sum := 0, 0
	for seed := range uint64(groups) {
		took := staggeredStart(t, seed, limit)
		sum += took
		if took > atOnce {
			late++
		}
	}
	t.Logf("%d of %d groups had no leader within %v, mean %v", late, groups, atOnce*TickInterval, time.Duration(sum)*TickInterval/groups)
	if late > maxLate {
		t.Errorf("%d of %d groups had no leader within %v, at most %d", late, groups, atOnce*TickInterval, maxLate)
	}
}
