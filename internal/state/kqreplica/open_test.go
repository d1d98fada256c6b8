package kqreplica

import (
	"fmt"
	"testing"
)

// openTolerance is how many folders may be lost at once in an open history.
const openTolerance = 2

var openNames = []string{"a", "b", "c", "d", "e"}

// newOpenRun forms a group of five from three founders; hosts join as they ask.
func newOpenHistoryRun(seed uint64, mutant mutation) *historyRun {
	r := newEmptyHistoryRun(seed, mutant)
	r.open = true
	for i, name := range openNames {
		r.addHost(name)
		if i < 3 {
			r.founders = append(r.founders, memberSpec(name))
		}
	}
	for _, name := range openNames {
		r.start(r.nodes[name])
	}
	return r
}

// allOpen reports whether every host that is not gone is a voter with its
// present folder, and no other.
func (r *historyRun) allVote(l *node) bool {
	n := 0
	for _, name := range r.names {
		x := r.nodes[name]
		if x.removed {
			continue
		}
		m, ok := findMember(l.replica.members, name)
		if !ok || !m.Voter || m.Incarnation != x.meta.Incarnation || !x.up {
			return false
		}
		n++
	}
	return n == len(l.replica.members) && l.replica.membersIndex <= l.replica.commit
}

// caughtUp reports whether all hold what the leader committed: only then does a
// host that came back no longer count as lost.
func (r *historyRun) caughtUp(l *node) bool {
	for _, name := range r.names {
		if x := r.nodes[name]; !x.removed && x.replica.log.lastIndex() < l.replica.commit {
			return false
		}
	}
	return true
}

func (r *historyRun) allApplied(l *node) bool {
	for _, name := range r.names {
		x := r.nodes[name]
		if !x.removed && (!x.up || x.replica.applied != l.replica.log.lastIndex() || x.machine.state.Digest() != l.machine.state.Digest()) {
			return false
		}
	}
	return true
}

// openFaults brings about what the platform's days bring.
func (r *historyRun) injectOpenFaults() {
	whole := func() *node {
		if l := r.leader(); l != nil && r.allVote(l) && r.caughtUp(l) {
			return l
		}
		return nil
	}
	switch n := r.rng.IntN(r.faultInterval); n {
	default:
		r.injectCommonFault(n)
	case 4:
		r.partition(30 + r.rng.IntN(100))
	case 5: // all at once, their disks stay
		for _, name := range r.names {
			if n := r.nodes[name]; n.up {
				r.crash(n, 5+r.rng.IntN(20))
			}
		}
	case 6, 7: // up to two folders lost at once, and perhaps the others dark
		if l := whole(); l != nil {
			r.loseFolders(1+r.rng.IntN(openTolerance), r.rng.IntN(3) == 0)
		}
	case 8:
		if l := whole(); l != nil {
			r.replaceOneHost()
		}
	}
}

// split cuts the hosts in two for a while.
func (r *historyRun) partition(slots int) {
	side := map[string]bool{}
	for _, name := range r.names {
		side[name] = r.rng.IntN(2) == 0
	}
	for _, a := range r.names {
		for _, b := range r.names {
			if side[a] != side[b] {
				r.cutLink(a, b, slots)
			}
		}
	}
}

func (r *historyRun) loseFolders(count int, dark bool) {
	for _, i := range r.rng.Perm(len(r.names)) {
		n := r.nodes[r.names[i]]
		switch {
		case n.removed || !n.up:
		case count > 0:
			r.crash(n, 3+r.rng.IntN(40))
			r.loseFolder(n)
			count--
		case dark:
			r.crash(n, 3+r.rng.IntN(40))
		}
	}
}

// succeed removes a host for good and starts another one.
func (r *historyRun) replaceOneHost() {
	if len(r.names) >= 3*len(openNames) {
		return
	}
	n := r.pickNode()
	if n.removed {
		return
	}
	r.crash(n, 0)
	n.removed = true
	next := r.addHost(fmt.Sprintf("n%02d", len(r.names)))
	next.joinOnly, next.downUntil = true, r.slot+r.rng.IntN(20)
}

// checkOpen plays one open history and turns a panic into a finding.
func checkOpenHistory(seed uint64, mutant mutation) (msg string) {
	defer func() {
		if p := recover(); p != nil {
			msg = fmt.Sprint("panic: ", p)
		}
	}()
	r := newOpenHistoryRun(seed, mutant)
	msg = r.play()
	if len(r.haltReasons) > 0 && (msg == "" || msg == statesDiverge) {
		return "halted: " + r.haltReasons[0]
	}
	return msg
}

// TestOpenHistoriesAreLinearizable plays groups that form from seeds, lose up to
// two folders at once, are split, killed together, and replaced one by one.
func TestOpenHistoriesAreLinearizable(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			requireNoFinding(t, seed, checkOpenHistory(seed, noMutation))
		})
	}
}
