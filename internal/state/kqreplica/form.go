package kqreplica

import (
	"fmt"
	"slices"

	"kumquatglade/internal/state/kqjournal"
)

// A cluster is founded once, and only while all control hosts named in the settings
// are reachable and none of them belongs to a cluster. A host that lost its data
// folder can therefore never found a second cluster beside the first.

// continuesFirstStart reports whether the data folder is that of the first start of the system,
// which was interrupted before the host had a cluster. Such a folder was never lost, so that no
// cluster can be missing from it.
func (r *Replica) continuesFirstStart() bool {
	return r.meta.Cluster == "" && len(r.meta.Founders) > 0 && slices.Equal(r.meta.Founders, hostNames(r.cfg.Hosts))
}

// hostNames returns the names of the hosts, sorted.
func hostNames(list []MemberSpec) []string {
	var names []string
	for _, spec := range list {
		names = append(names, spec.Host)
	}
	slices.Sort(names)
	return names
}

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

// knownHosts returns the founding hosts and the members, without this host.
func (r *Replica) knownHosts() []string {
	var list []string
	add := func(host string) {
		if host != r.cfg.Host && !slices.Contains(list, host) {
			list = append(list, host)
		}
	}
	for _, spec := range r.cfg.Hosts {
		add(spec.Host)
	}
	for _, m := range r.members {
		add(m.Host)
	}
	return list
}

// selfMember describes this host as it asks to join.
func (r *Replica) selfMember() Member {
	s := r.cfg.Self
	for _, spec := range r.cfg.Hosts {
		if spec.Host == r.cfg.Host && s.Host == "" {
			s = spec
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
	joiner := Member{Host: from, Incarnation: run.Incarnation}
	if len(m.Members) == 1 && m.Members[0].Host == from {
		joiner.Domain, joiner.Peers = m.Members[0].Domain, m.Members[0].Peers
	}
	switch {
	case r.role == Leader:
		r.addJoiner(joiner)
	case r.leader != "":
		// The host may not know the leader, which need not be in its settings.
		r.send(r.leader, Message{Kind: kindForwardHello, Cluster: r.meta.Cluster, Members: []Member{joiner}})
	}
	r.send(from, Message{Kind: kindHelloReply, Cluster: r.meta.Cluster})
}

// onForwardedHello handles a host whose hello another member forwarded.
func (r *Replica) onForwardedHello(m Message) {
	if r.role != Leader || len(m.Members) != 1 {
		return
	}
	joiner := m.Members[0]
	if !r.isMember(joiner.Host, joiner.Incarnation) {
		r.addJoiner(joiner)
	}
}

// addJoiner records a host that wants to join. A host that is a member with another
// data folder must first confirm its current identity. Any other host need not: there
// may be no link to it before it is a member, and it replaces no member.
func (r *Replica) addJoiner(joiner Member) {
	if _, ok := findMember(r.members, joiner.Host); ok {
		r.requestIdentity(joiner.Host)
		return
	}
	r.joiners[joiner.Host] = joiner
}

// requestIdentity asks a host for its current data folder. Its earlier messages may
// have been delayed, and acting on one could replace the folder in the member list
// by a former one.
func (r *Replica) requestIdentity(host string) {
	if r.identityRequests[host] == "" {
		r.identityRequestCount++
		r.identityRequests[host] = fmt.Sprintf("%d.%d", r.meta.Term, r.identityRequestCount)
	}
	r.send(host, Message{Kind: kindIdentify, Cluster: r.meta.Cluster, ID: r.identityRequests[host]})
}

// onIdentity records a host as a joiner if it answers the pending identity request.
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

// sendFounded tells a founding member, or one admitted later, its cluster. It
// includes the founding member list while the log still holds it: without that list
// nobody could vote for the first leader.
func (r *Replica) sendFounded(to string) {
	r.send(to, Message{Kind: kindFounded, Cluster: r.meta.Cluster, Members: r.members, Entries: r.log.entriesFrom(1, 1)})
}

func (r *Replica) onHelloReply(from string, m Message) {
	if r.role == Unjoined {
		r.helloReplies[from] = m
	}
}

// tryFoundCluster founds the cluster on the founding host with the lowest name, once
// all the other founding hosts have answered that they have no cluster either.
func (r *Replica) tryFoundCluster() {
	if r.cfg.JoinOnly {
		return
	}
	list, founder := []Member{}, false
	for _, spec := range r.cfg.Hosts {
		if spec.Host < r.cfg.Host {
			return
		}
		member := r.selfMember()
		if spec.Host != r.cfg.Host {
			m, ok := r.helloReplies[spec.Host]
			if !ok || m.Cluster != "" || !m.OK || len(m.Members) != 1 {
				return
			}
			member = m.Members[0]
		}
		founder = founder || spec.Host == r.cfg.Host
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

// onFounded joins a cluster whose member list names this host's data folder.
func (r *Replica) onFounded(m Message) {
	if r.role != Unjoined {
		return
	}
	if me, ok := findMember(m.Members, r.cfg.Host); !ok || me.Incarnation != r.run.Incarnation {
		return
	}
	r.joinCluster(m.Cluster, m.Entries)
}

// joinCluster saves the cluster, together with the founding entry if known.
func (r *Replica) joinCluster(cluster string, first []kqjournal.Entry) {
	r.meta.Cluster, r.meta.Term = cluster, 1
	r.saveMeta()
	r.role = Follower
	r.resetElectionTimeout()
	if len(first) == 1 && first[0].Index == 1 {
		r.storeEntries(first)
	}
}
