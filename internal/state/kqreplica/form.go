package kqreplica

import (
	"fmt"
	"slices"

	"kumquatglade/internal/state/kqjournal"
)

// A cluster is founded once, and only when every control host of the settings
// is there at the same time without a cluster: a host that lost its folder can
// therefore never found a second one beside the first.

func (r *Replica) tickBlank() {
	if r.elapsed%helloTicks == 1 {
		r.sayHello()
	}
	r.tryFound()
}

func (r *Replica) sayHello() {
	for _, host := range r.neighbours() {
		r.send(host, Message{Kind: kindHello, Members: []Member{r.self()}})
	}
}

// neighbours returns the founding hosts and the members, without this host.
func (r *Replica) neighbours() []string {
	var list []string
	add := func(host string) {
		if host != r.cfg.Host && !slices.Contains(list, host) {
			list = append(list, host)
		}
	}
	for _, w := range r.cfg.Hosts {
		add(w.Host)
	}
	for _, m := range r.members {
		add(m.Host)
	}
	return list
}

// self is this host as it asks to join.
func (r *Replica) self() Member {
	s := r.cfg.Self
	for _, w := range r.cfg.Hosts {
		if w.Host == r.cfg.Host && s.Host == "" {
			s = w
		}
	}
	return Member{Host: r.cfg.Host, Domain: s.Domain, Peers: s.Peers, Incarnation: r.run.Incarnation}
}

func (r *Replica) onHello(from string, run kqjournal.Run, m Message) {
	if r.role == Blank {
		r.send(from, Message{Kind: kindPresent, OK: !r.cfg.NeverFound, Members: []Member{r.self()}})
		return
	}
	if known, ok := find(r.members, from); ok && known.Incarnation == run.Incarnation {
		r.sendFound(from)
		return
	}
	asks := Member{Host: from, Incarnation: run.Incarnation}
	if len(m.Members) == 1 && m.Members[0].Host == from {
		asks.Domain, asks.Peers = m.Members[0].Domain, m.Members[0].Peers
	}
	switch {
	case r.role == Leader:
		r.noteJoiner(asks)
	case r.leader != "":
		// The host may not know the leader, whom the settings need not name.
		r.send(r.leader, Message{Kind: kindJoin, Cluster: r.meta.Cluster, Members: []Member{asks}})
	}
	r.send(from, Message{Kind: kindPresent, Cluster: r.meta.Cluster})
}

// onJoin takes a host that said hello to another member.
func (r *Replica) onJoin(m Message) {
	if r.role != Leader || len(m.Members) != 1 {
		return
	}
	asks := m.Members[0]
	if !r.counts(asks.Host, asks.Incarnation) {
		r.noteJoiner(asks)
	}
}

// noteJoiner takes a host that wants to join. One that is a member by another data
// folder must prove that it is there now; there may be no link to any other one
// before it is a member, and it takes nobody's place.
func (r *Replica) noteJoiner(asks Member) {
	if _, ok := find(r.members, asks.Host); ok {
		r.prove(asks.Host)
		return
	}
	r.joiners[asks.Host] = asks
}

// prove asks a host who it is now. What it said before may be late: acted on, an
// earlier data folder of the host could take the place of the one that counts.
func (r *Replica) prove(host string) {
	if r.proofs[host] == "" {
		r.proofNo++
		r.proofs[host] = fmt.Sprintf("%d.%d", r.meta.Term, r.proofNo)
	}
	r.send(host, Message{Kind: kindWho, Cluster: r.meta.Cluster, ID: r.proofs[host]})
}

// onIam takes a host that answered the question that is open now.
func (r *Replica) onIam(from string, run kqjournal.Run, m Message) {
	if r.role != Leader || m.ID == "" || m.ID != r.proofs[from] || len(m.Members) != 1 {
		return
	}
	delete(r.proofs, from)
	if r.counts(from, run.Incarnation) {
		return
	}
	r.joiners[from] = Member{
		Host: from, Domain: m.Members[0].Domain, Peers: m.Members[0].Peers, Incarnation: run.Incarnation,
	}
}

// sendFound tells a founding member, or one admitted later, its cluster. The
// founding list goes along while the log still holds it: without it nobody
// could vote for the first leader.
func (r *Replica) sendFound(to string) {
	r.send(to, Message{Kind: kindFound, Cluster: r.meta.Cluster, Members: r.members, Entries: r.log.from(1, 1)})
}

func (r *Replica) onPresent(from string, m Message) {
	if r.role == Blank {
		r.present[from] = m
	}
}

// tryFound founds the cluster on the host with the lowest name.
func (r *Replica) tryFound() {
	if r.cfg.NeverFound {
		return
	}
	list, founder := []Member{}, false
	for _, w := range r.cfg.Hosts {
		if w.Host < r.cfg.Host {
			return
		}
		member := r.self()
		if w.Host != r.cfg.Host {
			m, ok := r.present[w.Host]
			if !ok || m.Cluster != "" || !m.OK || len(m.Members) != 1 {
				return
			}
			member = m.Members[0]
		}
		founder = founder || w.Host == r.cfg.Host
		member.Voter = true
		list = append(list, member)
	}
	if !founder {
		return
	}
	r.join(r.cfg.Cluster, []kqjournal.Entry{{Index: 1, Term: 1, Kind: kindMembers, Data: encodeMembers(list)}})
	for _, m := range list {
		if m.Host != r.cfg.Host {
			r.sendFound(m.Host)
		}
	}
	if len(list) == 1 {
		r.campaign()
	}
}

// onFound joins a cluster that names this very data folder.
func (r *Replica) onFound(m Message) {
	if r.role != Blank {
		return
	}
	if me, ok := find(m.Members, r.cfg.Host); !ok || me.Incarnation != r.run.Incarnation {
		return
	}
	r.join(m.Cluster, m.Entries)
}

// join makes the cluster last, together with the founding entry if known.
func (r *Replica) join(cluster string, first []kqjournal.Entry) {
	r.meta.Cluster, r.meta.Term = cluster, 1
	r.saveMeta()
	r.role = Follower
	r.resetTimeout()
	if len(first) == 1 && first[0].Index == 1 {
		r.write(first)
	}
}
