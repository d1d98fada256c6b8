package kqreplica

import (
	"fmt"
	"slices"

	"kumquatglade/internal/state/kqjournal"
)

// A cluster is founded once, and only when every control host of the settings
// is there at the same time without a cluster: a host that lost its folder can
// therefore never found a second one beside the first.

func (r *Replica) tickUnjoined() {
	if r.elapsed%helloTicks == 1 {
		r.sendHello()
	}
	r.tryFoundCluster()
}

func (r *Replica) sendHello() {
	for _, host := range r.knownHosts() {
		r.send(host, Message{Kind: kindHello, Members: []Member{r.selfMember()}})
	}
}

// neighbours returns the founding hosts and the members, without this host.
func (r *Replica) knownHosts() []string {
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
func (r *Replica) selfMember() Member {
	s := r.cfg.Self
	for _, w := range r.cfg.Hosts {
		if w.Host == r.cfg.Host && s.Host == "" {
			s = w
		}
	}
	return Member{Host: r.cfg.Host, Domain: s.Domain, Peers: s.Peers, Incarnation: r.run.Incarnation}
}

func (r *Replica) onHello(from string, run kqjournal.Run, m Message) {
	if r.role == Unjoined {
		r.send(from, Message{Kind: kindHelloReply, OK: !r.cfg.JoinOnly, Members: []Member{r.selfMember()}})
		return
	}
	if known, ok := findMember(r.members, from); ok && known.Incarnation == run.Incarnation {
		r.sendFounded(from)
		return
	}
	asks := Member{Host: from, Incarnation: run.Incarnation}
	if len(m.Members) == 1 && m.Members[0].Host == from {
		asks.Domain, asks.Peers = m.Members[0].Domain, m.Members[0].Peers
	}
	switch {
	case r.role == Leader:
		r.addJoiner(asks)
	case r.leader != "":
		// The host may not know the leader, whom the settings need not name.
		r.send(r.leader, Message{Kind: kindForwardHello, Cluster: r.meta.Cluster, Members: []Member{asks}})
	}
	r.send(from, Message{Kind: kindHelloReply, Cluster: r.meta.Cluster})
}

// onJoin takes a host that said hello to another member.
func (r *Replica) onForwardedHello(m Message) {
	if r.role != Leader || len(m.Members) != 1 {
		return
	}
	asks := m.Members[0]
	if !r.isMember(asks.Host, asks.Incarnation) {
		r.addJoiner(asks)
	}
}

// noteJoiner takes a host that wants to join. One that is a member by another data
// folder must prove that it is there now; there may be no link to any other one
// before it is a member, and it takes nobody's place.
func (r *Replica) addJoiner(asks Member) {
	if _, ok := findMember(r.members, asks.Host); ok {
		r.requestIdentity(asks.Host)
		return
	}
	r.joiners[asks.Host] = asks
}

// prove asks a host who it is now. What it said before may be late: acted on, an
// earlier data folder of the host could take the place of the one that counts.
func (r *Replica) requestIdentity(host string) {
	if r.identityRequests[host] == "" {
		r.identityRequestCount++
		r.identityRequests[host] = fmt.Sprintf("%d.%d", r.meta.Term, r.identityRequestCount)
	}
	r.send(host, Message{Kind: kindIdentify, Cluster: r.meta.Cluster, ID: r.identityRequests[host]})
}

// onIam takes a host that answered the question that is open now.
func (r *Replica) onIdentity(from string, run kqjournal.Run, m Message) {
	if r.role != Leader || m.ID == "" || m.ID != r.identityRequests[from] || len(m.Members) != 1 {
		return
	}
	delete(r.identityRequests, from)
	if r.isMember(from, run.Incarnation) {
		return
	}
	r.joiners[from] = Member{
		Host: from, Domain: m.Members[0].Domain, Peers: m.Members[0].Peers, Incarnation: run.Incarnation,
	}
}

// sendFound tells a founding member, or one admitted later, its cluster. The
// founding list goes along while the log still holds it: without it nobody
// could vote for the first leader.
func (r *Replica) sendFounded(to string) {
	r.send(to, Message{Kind: kindFounded, Cluster: r.meta.Cluster, Members: r.members, Entries: r.log.entriesFrom(1, 1)})
}

func (r *Replica) onHelloReply(from string, m Message) {
	if r.role == Unjoined {
		r.helloReplies[from] = m
	}
}

// tryFound founds the cluster on the host with the lowest name.
func (r *Replica) tryFoundCluster() {
	if r.cfg.JoinOnly {
		return
	}
	list, founder := []Member{}, false
	for _, w := range r.cfg.Hosts {
		if w.Host < r.cfg.Host {
			return
		}
		member := r.selfMember()
		if w.Host != r.cfg.Host {
			m, ok := r.helloReplies[w.Host]
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
	r.joinCluster(r.cfg.Cluster, []kqjournal.Entry{{Index: 1, Term: 1, Kind: entryMembers, Data: encodeMembers(list)}})
	for _, m := range list {
		if m.Host != r.cfg.Host {
			r.sendFounded(m.Host)
		}
	}
	if len(list) == 1 {
		r.campaign()
	}
}

// onFound joins a cluster that names this very data folder.
func (r *Replica) onFounded(m Message) {
	if r.role != Unjoined {
		return
	}
	if me, ok := findMember(m.Members, r.cfg.Host); !ok || me.Incarnation != r.run.Incarnation {
		return
	}
	r.joinCluster(m.Cluster, m.Entries)
}

// join makes the cluster last, together with the founding entry if known.
func (r *Replica) joinCluster(cluster string, first []kqjournal.Entry) {
	r.meta.Cluster, r.meta.Term = cluster, 1
	r.saveMeta()
	r.role = Follower
	r.resetElectionTimeout()
	if len(first) == 1 && first[0].Index == 1 {
		r.storeEntries(first)
	}
}
