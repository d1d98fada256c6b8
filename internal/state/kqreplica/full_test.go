package kqreplica

import (
	"fmt"
	"testing"
	"time"
)

// becomeFull keeps the effects that wait for room, the first of which the disk refused.
func (s *simulation) becomeFull(n *node, waiting []Effect) {
	n.pending = waiting
	if n.full {
		return
	}
	n.full = true
	s.perform(n, n.replica.Reduce(time.Time{}, DiskFull{}))
}

// feedFull handles an event of a host whose disk is full.
func (s *simulation) feedFull(n *node, ev Event) {
	switch ev.(type) {
	case LinkUp, LinkDown:
	default:
		return
	}
	for _, e := range n.replica.Reduce(time.Time{}, ev) {
		if _, ok := e.(Send); !ok {
			n.pending = append(n.pending, e)
		}
	}
}

// stepFullDisks frees the disks whose time is over, and lets the hosts try again.
func (s *simulation) stepFullDisks() {
	for _, name := range s.names {
		n := s.nodes[name]
		if n.fullUntil > 0 && s.slot >= n.fullUntil {
			n.fullUntil = 0
			n.disk.Free()
		}
		if !n.full || !n.up {
			continue
		}
		list := n.pending
		n.pending = nil
		if s.perform(n, list); n.up && len(n.pending) == 0 {
			n.full = false
		}
	}
}

// fill makes the disk of a host full for a number of slots.
func (s *simulation) fill(n *node, slots int) {
	n.disk.Fill()
	n.fullUntil = s.slot + slots
}

// checkFullHistory plays one seed, in which disks become full besides the other faults,
// and returns the fault that was found, or an empty string.
func checkFullHistory(seed uint64, mutant mutation) (msg string) {
	defer func() {
		if p := recover(); p != nil {
			msg = fmt.Sprint("panic: ", p)
		}
	}()
	r := newHistoryRun(seed, mutant)
	r.fillInterval = 40
	msg = r.play()
	if len(r.haltReasons) > 0 && (msg == "" || msg == statesDiverge) {
		return "halted: " + r.haltReasons[0]
	}
	return msg
}

// TestFullDisksKeepHistoriesLinearizable fills disks besides all other faults: nothing
// that was acknowledged may be lost, and once there is room all hosts must agree.
func TestFullDisksKeepHistoriesLinearizable(t *testing.T) {
	seeds := *seedCount
	if testing.Short() {
		seeds = min(seeds, 5) // the race detector makes each history ten times as long
	}
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			requireNoFinding(t, seed, checkFullHistory(seed, noMutation))
		})
	}
}

const (
	deliverySlots = 4  // until a message is handled, without faults
	failoverSlots = 60 // 3 s, within which a change must be accepted again
)

// TestLeaderWithFullDiskHandsOver guards against callers that wait for a leader which can
// accept nothing, until its silence is noticed.
func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, noMutation, "a", "b", "c", "d", "e")
		s.noFaults = true
		if !s.stepUntil(400, func() bool { l := s.leader(); return l != nil && l.replica.commit > 0 }) {
			t.Fatal("no leader at the start")
		}
		first := s.leader()
		s.fill(first, 90)
		s.feed(first, Propose{[]Proposal{{ID: "p", Data: []byte(`{"op":"x"}`)}}})
		followed := func() bool {
			for _, n := range s.nodes {
				if n.replica.leader == first.name {
					return true
				}
			}
			return false
		}
		if !s.stepUntil(deliverySlots, func() bool { return !followed() }) {
			t.Errorf("seed %d: the host is followed although its disk is full", seed)
		}
		isNew := func() bool {
			l := s.leader()
			return l != nil && l != first && l.replica.commit == l.replica.log.lastIndex()
		}
		if !s.stepUntil(failoverSlots, isNew) {
			t.Fatalf("seed %d: no other leader", seed)
		}
		caughtUp := func() bool {
			return !first.full && first.replica.role == Follower && first.replica.applied == s.leader().replica.applied
		}
		if !s.stepUntil(200, caughtUp) {
			t.Errorf("seed %d: the host did not catch up after its disk had room", seed)
		}
		if first.replica.meta.Boot != 1 || len(s.haltReasons) > 0 {
			t.Errorf("seed %d: the host started again or halted: %v", seed, s.haltReasons)
		}
	}
}

// TestDisksFullOneAfterAnother fills each disk in turn, and the leader's twice: changes
// must be accepted again after each, however many disks have been full before.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, noMutation, "a", "b", "c", "d", "e")
		s.noFaults = true
		applied := map[string]bool{}
		s.onEffect = func(_ *node, e Effect) {
			if a, ok := e.(Applied); ok {
				applied[a.ID] = true
			}
		}
		propose := func(id string) bool {
			return s.stepUntil(200, func() bool {
				if l := s.leader(); l != nil {
					s.feed(l, Propose{[]Proposal{{ID: id, Data: []byte(`{"op":"x"}`)}}})
				}
				return applied[id]
			})
		}
		if !propose("first") {
			t.Fatal("nothing accepted at the start")
		}
		hosts := []*node{s.leader()}
		for _, name := range s.names {
			hosts = append(hosts, s.nodes[name])
		}
		for i, n := range hosts {
			if i == len(hosts)-1 {
				n = s.leader()
			}
			s.fill(n, 90) // 4.5 s
			if !propose(fmt.Sprint("during ", i)) {
				t.Fatalf("seed %d: nothing accepted while disk %d of %d is full", seed, i, len(hosts))
			}
			s.stepUntil(120, func() bool { return n.fullUntil == 0 && !n.full })
			if !propose(fmt.Sprint("after ", i)) {
				t.Fatalf("seed %d: nothing accepted after disk %d of %d was full", seed, i, len(hosts))
			}
		}
		equal := func() bool {
			for _, n := range s.nodes {
				if n.full || n.replica.applied != s.leader().replica.log.lastIndex() {
					return false
				}
			}
			return true
		}
		if !s.stepUntil(200, equal) {
			t.Errorf("seed %d: the hosts do not reach the same state", seed)
		}
	}
}
