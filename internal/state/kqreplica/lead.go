package kqreplica

import (
	"slices"
	"strings"

	"kumquatglade/internal/state/kqjournal"
)

func (r *Replica) tickLeader() {
	for _, p := range r.peers {
		p.silent++
		p.sinceSnapshot++
		p.paused = p.paused && p.sinceSnapshot < snapshotRetryTicks
	}
	alive := func(h string) bool { return h == r.cfg.Host || r.peers[h] != nil && r.peers[h].silent < electionTicks }
	if !r.hasQuorum(alive) {
		r.becomeFollower(r.meta.Term, "")
		return
	}
	r.sinceHeartbeat++
	if r.sinceHeartbeat >= heartbeatTicks {
		r.sinceHeartbeat = 0
		r.sendHeartbeats()
	}
	r.stepMembership()
}

// sendHeartbeats starts a new heartbeat round and resends all entries that were not
// acknowledged.
func (r *Replica) sendHeartbeats() {
	r.round++
	defer r.confirmReads()
	for host, p := range r.sortedPeers() {
		if m, _ := findMember(r.members, host); !m.Voter && p.match == r.log.lastIndex() && r.round%nonVoterRounds != 0 {
			continue // a non-voter with a complete log is not needed for any quorum
		}
		p.next = min(p.next, p.match+1)
		if p.paused {
			r.send(host, Message{Kind: kindAppend, Cluster: r.meta.Cluster, Term: r.meta.Term, Round: r.round})
			continue
		}
		r.sendAppend(host, p)
	}
}

// sortedPeers yields the peers in a fixed order, so that a simulation can be
// replayed.
func (r *Replica) sortedPeers() func(yield func(string, *progress) bool) {
	hosts := make([]string, 0, len(r.peers))
	for h := range r.peers {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return func(yield func(string, *progress) bool) {
		for _, h := range hosts {
			if !yield(h, r.peers[h]) {
				return
			}
		}
	}
}

// broadcastAppend sends new entries and the commit index to all peers, other than
// those with a snapshot in flight.
func (r *Replica) broadcastAppend() {
	for host, p := range r.sortedPeers() {
		if !p.paused {
			r.sendAppend(host, p)
		}
	}
}

// sendAppend sends the entries from p.next on, or a snapshot if the log no longer holds
// them.
func (r *Replica) sendAppend(host string, p *progress) {
	prev := p.next - 1
	term, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(host, p)
		return
	}
	list := r.log.entriesFrom(p.next, r.cfg.MaxBatch)
	r.send(host, Message{
		Kind: kindAppend, Cluster: r.meta.Cluster, Term: r.meta.Term, Index: prev,
		LogTerm: term, Commit: r.commit, Round: r.round, Entries: list,
	})
	p.next += uint64(len(list))
}

func (r *Replica) sendSnapshot(host string, p *progress) {
	if p.paused {
		return
	}
	s := r.snapshot()
	p.paused, p.sinceSnapshot, p.pausedUntil = true, 0, s.Index
	r.send(host, Message{Kind: kindSnapshot, Cluster: r.meta.Cluster, Term: r.meta.Term, Round: r.round, Snapshot: &s})
	p.next = s.Index + 1
}

// snapshot encodes the state at the last applied index.
func (r *Replica) snapshot() kqjournal.Snapshot {
	term, _ := r.log.term(r.applied)
	return kqjournal.Snapshot{
		Index: r.applied, Term: term,
		Members: encodeMembers(r.log.membersAt(r.applied)),
		State:   r.machine.Snapshot(),
	}
}

func (r *Replica) onAppendReply(from string, m Message) {
	p := r.peers[from]
	if r.role != Leader || p == nil || m.Term != r.meta.Term {
		return
	}
	p.silent = 0
	p.round = max(p.round, m.Round)
	p.paused = p.paused && m.Index < p.pausedUntil
	if p.run != m.Run {
		p.run, p.runUnconfirmed = m.Run, true
	}
	if m.OK {
		p.runUnconfirmed = false
		r.onAppendAccepted(from, p, m.Index)
	} else {
		r.onAppendRejected(from, p, m.Index)
	}
	r.confirmReads()
}

// onAppendRejected continues from the index at which the logs may agree. A host
// whose log is shorter after a restart than what it acknowledged before has lost
// synced data and must not vote.
func (r *Replica) onAppendRejected(from string, p *progress, hint uint64) {
	if p.runUnconfirmed && hint < p.match {
		p.lostData, p.match = true, 0
	}
	p.next = max(1, min(p.next-1, hint+1))
	p.next = max(p.next, p.match+1)
	if !p.paused {
		r.sendAppend(from, p)
	}
}

func (r *Replica) onAppendAccepted(from string, p *progress, index uint64) {
	if index > p.match {
		p.match = index
		p.next = max(p.next, index+1)
		r.advanceCommit()
	}
	if r.role == Leader && !p.paused && p.next <= r.log.lastIndex() {
		r.sendAppend(from, p)
	}
}

// advanceCommit commits the entries that a quorum holds. It counts replicas only for
// entries of the current term.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	for index := r.log.lastIndex(); index > r.commit; index-- {
		if term, _ := r.log.term(index); !r.canCommitTerm(term) {
			return
		}
		if r.hasCommitQuorum(func(h string) bool { return h == r.cfg.Host || r.peers[h] != nil && r.peers[h].match >= index }) {
			r.commitTo(index)
			if !r.startWaitingReads() {
				r.broadcastAppend() // entry hosts are served by followers, which should learn of the commit at once
			}
			return
		}
	}
}

// commitTo commits and applies all entries up to and including index.
func (r *Replica) commitTo(index uint64) {
	index = min(index, r.log.lastIndex())
	if index <= r.commit {
		return
	}
	r.commit = index
	for r.applied < r.commit {
		e := r.log.entriesFrom(r.applied+1, 1)[0]
		r.applied = e.Index
		r.apply(e)
	}
	r.compact()
	r.stepDownIfRemoved()
}

func (r *Replica) apply(e kqjournal.Entry) {
	r.unsnapshottedBytes += len(e.Data)
	if e.Kind != entryCommand {
		return
	}
	res := r.machine.Apply(e.Data)
	id := r.proposalIDs[e.Index]
	delete(r.proposalIDs, e.Index)
	r.emit(Applied{Index: e.Index, ID: id, Result: res})
}

// compact saves a snapshot if enough entries or bytes were applied since the last one.
func (r *Replica) compact() {
	if r.applied-r.log.snapshotIndex < uint64(r.cfg.CompactEvery) && r.unsnapshottedBytes < snapshotBytes {
		return
	}
	r.unsnapshottedBytes = 0
	s := r.snapshot()
	r.log.compact(s.Index, s.Term, decodeMembers(s.Members))
	r.emit(SaveSnapshot{Snapshot: s, Keep: r.log.entriesFrom(s.Index+1, len(r.log.entries))})
}

// stepDownIfRemoved makes the leader step down once a member list is committed in
// which it is not a voter.
func (r *Replica) stepDownIfRemoved() {
	if r.role == Leader && r.membersIndex <= r.commit && !r.isVoter(r.cfg.Host, r.run.Incarnation) {
		r.sendHeartbeats() // this last round tells the others of the commit
		r.becomeFollower(r.meta.Term, "")
	}
}

func (r *Replica) propose(ev Propose) {
	if r.role != Leader {
		for _, p := range ev.Proposals {
			r.emit(ProposalUnanswered{ID: p.ID, Leader: r.leader, NotAppended: true})
		}
		return
	}
	batch := make([]kqjournal.Entry, len(ev.Proposals))
	for i, p := range ev.Proposals {
		e := kqjournal.Entry{Index: r.log.lastIndex() + 1 + uint64(i), Term: r.meta.Term, Kind: entryCommand, ID: p.ID, Data: p.Data}
		r.proposalIDs[e.Index] = p.ID
		batch[i] = e
	}
	r.appendAsLeader(batch)
}

// stepMembership appends the next single change towards the desired member list,
// once the previous change and an entry of this term are committed.
func (r *Replica) stepMembership() {
	term, _ := r.log.term(r.commit)
	if r.membersIndex > r.commit || term != r.meta.Term {
		return
	}
	next := r.nextMembers()
	if next == nil {
		return
	}
	e := r.nextEntry(entryMembers, encodeMembers(next))
	r.members, r.membersIndex = next, e.Index
	r.trackPeers()
	r.appendAsLeader([]kqjournal.Entry{e})
}

// nextMembers returns the member list one step closer to the desired one, or nil if
// there is nothing to do now. A host whose data folder changed is first made a
// non-voter; a non-voter is promoted once it holds all committed entries.
func (r *Replica) nextMembers() []Member {
	desired := r.machine.DesiredMembers()
	if desired == nil {
		desired = r.currentSpecs()
	}
	if r.cfg.OpenMembership {
		desired = r.openSpecs()
	}
	if next := r.demoteLostHost(); next != nil {
		return next
	}
	for _, spec := range desired {
		if next := r.nextMembersFor(spec); next != nil {
			return next
		}
	}
	if !r.allDesiredVote(desired) {
		return nil // removing a member earlier could leave too few voters to tolerate a failure
	}
	for _, m := range r.members {
		if !slices.ContainsFunc(desired, func(spec MemberSpec) bool { return spec.Host == m.Host }) {
			return withoutMember(r.members, m.Host)
		}
	}
	return nil
}

// allDesiredVote reports whether every host that is desired as a voter is one.
func (r *Replica) allDesiredVote(desired []MemberSpec) bool {
	return !slices.ContainsFunc(desired, func(spec MemberSpec) bool {
		m, ok := findMember(r.members, spec.Host)
		return spec.Voter && !(ok && m.Voter)
	})
}

// demoteLostHost returns the member list with one host made a non-voter that lost
// its data folder or part of it, or nil if there is no such host.
func (r *Replica) demoteLostHost() []Member {
	for _, m := range r.members {
		p := r.peers[m.Host]
		if p == nil {
			continue
		}
		joiner, joining := r.joiners[m.Host]
		replaced := joining && joiner.Incarnation != m.Incarnation
		if !replaced && !(p.lostData && m.Voter) {
			continue
		}
		if replaced {
			m.Incarnation = joiner.Incarnation
			if joiner.Peers != "" {
				m.Domain, m.Peers = joiner.Domain, joiner.Peers
			}
		}
		delete(r.joiners, m.Host)
		delete(r.peers, m.Host)
		m.Voter = false
		return withMember(r.members, m)
	}
	return nil
}

// nextMembersFor returns the member list after adding, promoting or demoting the host
// of spec, or nil if nothing can be done for it now.
func (r *Replica) nextMembersFor(spec MemberSpec) []Member {
	m, ok := findMember(r.members, spec.Host)
	if !ok {
		joiner, joining := r.joiners[spec.Host]
		if !joining {
			return nil
		}
		delete(r.joiners, spec.Host)
		return withMember(r.members, Member{Host: spec.Host, Domain: spec.Domain, Peers: spec.Peers, Incarnation: joiner.Incarnation})
	}
	p := r.peers[spec.Host]
	if spec.Voter && !m.Voter && p != nil && p.silent < electionTicks && p.match >= r.commit {
		m.Voter = true
		return withMember(r.members, m)
	}
	if !spec.Voter && m.Voter {
		m.Voter = false
		return withMember(r.members, m)
	}
	return nil
}

// currentSpecs returns all current members as desired voters, so that a demoted host
// is promoted again once it has caught up.
func (r *Replica) currentSpecs() []MemberSpec {
	list := make([]MemberSpec, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, MemberSpec{Host: m.Host, Domain: m.Domain, Peers: m.Peers, Voter: true})
	}
	return list
}

// silentMemberTicks is the time without an answer after which a member may be removed.
// It is longer than an election and shorter than the time within which a replacement
// host must be a voter.
const silentMemberTicks = 2 * electionTicks

// openSpecs returns the desired members of a cluster with open membership: the current
// members and the hosts that ask to join. A silent voter is removed once the
// responsive voters alone can tolerate the configured number of lost folders; a silent
// non-voter is removed at once.
func (r *Replica) openSpecs() []MemberSpec {
	live := 0
	for _, m := range r.members {
		if m.Voter && !r.isSilent(m.Host) {
			live++
		}
	}
	enough := live >= 2*r.cfg.Tolerance+1
	var list []MemberSpec
	for _, m := range r.members {
		if r.isSilent(m.Host) && (enough || !m.Voter) {
			continue
		}
		list = append(list, MemberSpec{Host: m.Host, Domain: m.Domain, Peers: m.Peers, Voter: true})
	}
	for host, j := range r.joiners {
		if _, ok := findMember(r.members, host); !ok && j.Peers != "" {
			list = append(list, MemberSpec{Host: host, Domain: j.Domain, Peers: j.Peers, Voter: true})
		}
	}
	slices.SortFunc(list, func(a, b MemberSpec) int { return strings.Compare(a.Host, b.Host) })
	return list
}

func (r *Replica) isSilent(host string) bool {
	p := r.peers[host]
	return host != r.cfg.Host && (p == nil || p.silent >= silentMemberTicks)
}
