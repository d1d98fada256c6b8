package kqreplica

import (
	"encoding/json"
	"slices"
	"time"

	"kumquatglade/internal/state/kqcontract"
)

// faults brings about what the brief says that fails.
func (r *run) faults() {
	if r.open {
		r.openFaults()
		return
	}
	switch n := r.rng.IntN(r.rate); n {
	default:
		r.commonFault(n)
	case 4:
		n := r.pick().name
		for _, o := range r.names {
			r.cut(n, o, 120)
			r.cut(o, n, 120)
		}
	case 5:
		r.loseOne()
	case 6:
		r.overtake()
	case 7:
		r.replace()
	}
	r.repaired()
}

// commonFault brings about the faults of every kind of history: a host or the
// leader ends, a disk fails, messages from one host to another are lost.
func (r *run) commonFault(n int) {
	switch n {
	case 0:
		if n := r.pick(); n.up {
			r.crash(n, 5+r.rng.IntN(80))
		}
	case 1:
		if n := r.leader(); n != nil {
			r.crash(n, 5+r.rng.IntN(80))
		}
	case 2:
		if n := r.pick(); n.up {
			n.disk.CrashIn(r.rng.IntN(12))
		}
	case 3:
		r.cut(r.pick().name, r.pick().name, 20+r.rng.IntN(100))
	}
}

// overtake brings about the order in which an entry of an earlier term stands
// on a majority and is still overwritten: a leader is cut off with entries of
// its own, a second one leads and falls with an entry of a later term, the
// first comes back, spreads its old entries, and falls before its new one.
func (r *run) overtake() {
	first := r.leader()
	if first == nil {
		return
	}
	r.isolate(first)
	for range 3 {
		r.clientsStep()
		r.step()
	}
	r.crash(first, 1000)
	if !r.until(100, func() bool { l := r.leader(); return l != nil && l != first }) {
		first.downTil = r.slot
		return
	}
	second := r.leader()
	r.queue = slices.DeleteFunc(r.queue, func(p packet) bool { return p.from == second.name })
	r.crash(second, 1000)
	first.downTil = r.slot
	r.cuts = map[[2]string]int{}
	r.until(100, func() bool { return r.leader() == first })
	for range 2 + r.rng.IntN(10) {
		r.step()
	}
	r.crash(first, 60)
	second.downTil = r.slot
}

// isolate loses all that the host sends.
func (r *run) isolate(n *node) {
	for _, o := range r.names {
		r.cut(n.name, o, 150)
	}
}

// loseOne empties the folder of one host, if every other folder is whole: more
// losses at a time than a minority are more than any log can bear.
func (r *run) loseOne() {
	if r.lostOne != nil || r.slot < 100 {
		return
	}
	if l := r.leader(); l == nil || !r.allCount(l) {
		return
	}
	names := r.wanted(r.leader())
	n := r.nodes[names[r.rng.IntN(len(names))]]
	r.crash(n, 3+r.rng.IntN(20))
	r.lose(n)
	r.lostOne = n
}

// replace asks for another set of three control hosts.
func (r *run) replace() {
	l := r.leader()
	if r.lostOne != nil || l == nil || !r.allCount(l) {
		return
	}
	names := slices.Clone(r.names)
	r.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	h := kqcontract.Hosts{Version: uint64(len(l.machine.state.HostLog.Accepted)) + 1}
	for _, n := range names[:3] {
		h.Control = append(h.Control, kqcontract.ControlHost(want(n)))
	}
	data, err := json.Marshal(kqcontract.Command{Op: kqcontract.OpHosts, Hosts: &h, Time: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	r.feed(l, Propose{[]Proposal{{ID: "replace", Data: data}}})
}

// wanted returns the names of the control hosts that the leader works towards.
func (r *run) wanted(l *node) []string {
	list := l.machine.Wanted()
	if list == nil {
		list = r.hosts
	}
	var names []string
	for _, w := range list {
		names = append(names, w.Host)
	}
	return names
}

// allCount reports whether exactly the wanted hosts are voters.
func (r *run) allCount(l *node) bool {
	if len(l.replica.members) != 3 {
		return false
	}
	for _, name := range r.wanted(l) {
		m, ok := find(l.replica.members, name)
		if !ok || !m.Voter || m.Incarnation != r.nodes[name].meta.Incarnation {
			return false
		}
	}
	return l.replica.memberI <= l.replica.commit
}

func (r *run) repaired() {
	if l := r.leader(); r.lostOne != nil && l != nil && r.lostOne.up && r.allCount(l) {
		r.lostOne = nil // a second failure may come right now
	}
}
