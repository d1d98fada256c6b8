package kqreplica

import (
	"encoding/json"
	"slices"
	"time"

	"kumquatglade/internal/state/kqcontract"
)

// injectFaults causes random faults that the replicas must tolerate.
func (r *historyRun) injectFaults() {
	if r.fillInterval > 0 && r.rng.IntN(r.fillInterval) == 0 {
		r.fill(r.pickNode(), 1+r.rng.IntN(150))
	}
	if r.open {
		r.injectOpenFaults()
		return
	}
	switch n := r.rng.IntN(r.faultInterval); n {
	default:
		r.injectCommonFault(n)
	case 4:
		n := r.pickNode().name
		for _, o := range r.names {
			r.cutLink(n, o, 120)
			r.cutLink(o, n, 120)
		}
	case 5:
		r.loseOneFolder()
	case 6:
		r.overwriteEarlierTerm()
	case 7:
		r.replaceHosts()
	}
	r.noteRepair()
}

// injectCommonFault causes the faults that occur in every kind of history: a host or
// the leader crashes, a disk fails, or messages from one host to another are lost.
func (r *historyRun) injectCommonFault(n int) {
	switch n {
	case 0:
		if n := r.pickNode(); n.up {
			r.crash(n, 5+r.rng.IntN(80))
		}
	case 1:
		if n := r.leader(); n != nil {
			r.crash(n, 5+r.rng.IntN(80))
		}
	case 2:
		if n := r.pickNode(); n.up {
			n.disk.CrashAfter(r.rng.IntN(12))
		}
	case 3:
		r.cutLink(r.pickNode().name, r.pickNode().name, 20+r.rng.IntN(100))
	}
}

// overwriteEarlierTerm causes the sequence in which a majority holds an entry of an
// earlier term that is nevertheless overwritten. A leader is cut off with entries of
// its own and crashes. A second one leads and crashes with an entry of a later term.
// The first one leads again, replicates its old entries, and crashes before it
// replicates its new one.
func (r *historyRun) overwriteEarlierTerm() {
	first := r.leader()
	if first == nil {
		return
	}
	r.isolate(first)
	for range 3 {
		r.stepClients()
		r.step()
	}
	r.crash(first, 1000)
	if !r.stepUntil(100, func() bool { l := r.leader(); return l != nil && l != first }) {
		first.downUntil = r.slot
		return
	}
	second := r.leader()
	r.queue = slices.DeleteFunc(r.queue, func(p packet) bool { return p.from == second.name })
	r.crash(second, 1000)
	first.downUntil = r.slot
	r.cuts = map[[2]string]int{}
	r.stepUntil(100, func() bool { return r.leader() == first })
	for range 2 + r.rng.IntN(10) {
		r.step()
	}
	r.crash(first, 60)
	second.downUntil = r.slot
}

// isolate drops all messages that the host sends.
func (r *historyRun) isolate(n *node) {
	for _, o := range r.names {
		r.cutLink(n.name, o, 150)
	}
}

// loseOneFolder empties the data folder of one host, provided that no other folder is
// lost: consensus cannot tolerate the loss of more than a minority at a time.
func (r *historyRun) loseOneFolder() {
	if r.lostHost != nil || r.slot < 100 {
		return
	}
	if l := r.leader(); l == nil || !r.allDesiredVote(l) {
		return
	}
	names := r.desiredNames(r.leader())
	n := r.nodes[names[r.rng.IntN(len(names))]]
	r.crash(n, 3+r.rng.IntN(20))
	r.loseFolder(n)
	r.lostHost = n
}

// replaceHosts proposes another set of three control hosts.
func (r *historyRun) replaceHosts() {
	l := r.leader()
	if r.lostHost != nil || l == nil || !r.allDesiredVote(l) {
		return
	}
	names := slices.Clone(r.names)
	r.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	h := kqcontract.Hosts{Version: uint64(len(l.machine.state.HostLog.Accepted)) + 1}
	for _, n := range names[:3] {
		h.Control = append(h.Control, kqcontract.ControlHost(memberSpec(n)))
	}
	data, err := json.Marshal(kqcontract.Command{Op: kqcontract.OpHosts, Hosts: &h, Time: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	r.feed(l, Propose{[]Proposal{{ID: "replace", Data: data}}})
}

// desiredNames returns the names of the control hosts that the leader is to have as
// members.
func (r *historyRun) desiredNames(l *node) []string {
	list := l.machine.DesiredMembers()
	if list == nil {
		list = r.founders
	}
	var names []string
	for _, spec := range list {
		names = append(names, spec.Host)
	}
	return names
}

// allDesiredVote reports whether the members are exactly the desired hosts, all voters
// with their current data folders, by a committed member list.
func (r *historyRun) allDesiredVote(l *node) bool {
	if len(l.replica.members) != 3 {
		return false
	}
	for _, name := range r.desiredNames(l) {
		m, ok := findMember(l.replica.members, name)
		if !ok || !m.Voter || m.Incarnation != r.nodes[name].meta.Incarnation {
			return false
		}
	}
	return l.replica.membersIndex <= l.replica.commit
}

// noteRepair lets the next data folder be lost once the lost host is a voter again.
func (r *historyRun) noteRepair() {
	if l := r.leader(); r.lostHost != nil && l != nil && r.lostHost.up && r.allDesiredVote(l) {
		r.lostHost = nil // from now on another folder may be lost
	}
}
