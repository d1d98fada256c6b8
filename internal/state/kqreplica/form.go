package kqreplica

import "kumquatglade/internal/state/kqjournal"

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
	for _, w := range r.cfg.Hosts {
		if w.Host != r.cfg.Host {
			r.send(w.Host, Message{Kind: kindHello})
		}
	}
}

func (r *Replica) onHello(from string, run kqjournal.Run) {
	if r.role == Blank {
		r.send(from, Message{Kind: kindPresent})
		return
	}
	m, ok := find(r.members, from)
	if ok && m.Incarnation == run.Incarnation {
		r.sendFound(from)
		return
	}
	switch {
	case r.role == Leader:
		r.joiners[from] = run.Incarnation
	case r.leader != "":
		// The host may not know the leader, whom the settings need not name.
		asks := Member{Host: from, Incarnation: run.Incarnation}
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
		r.joiners[asks.Host] = asks.Incarnation
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
	list := []Member{}
	for _, w := range r.cfg.Hosts {
		inc := r.run.Incarnation
		if w.Host < r.cfg.Host {
			return
		}
		if w.Host != r.cfg.Host {
			m, ok := r.present[w.Host]
			if !ok || m.Cluster != "" {
				return
			}
			run, _ := DecodeRun(m.Run)
			inc = run.Incarnation
		}
		list = append(list, Member{Host: w.Host, Domain: w.Domain, Peers: w.Peers, Incarnation: inc, Voter: true})
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
