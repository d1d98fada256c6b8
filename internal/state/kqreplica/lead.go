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

// heartbeat starts a new round and sends again what was not acknowledged.
func (r *Replica) sendHeartbeats() {
	r.round++
	defer r.confirmReads()
	for host, p := range r.sortedPeers() {
		if m, _ := findMember(r.members, host); !m.Voter && p.match == r.log.lastIndex() && r.round%nonVoterRounds != 0 {
			continue // a non-voter that lacks nothing counts for no quorum
		}
		p.next = min(p.next, p.match+1)
		if p.paused {
			r.send(host, Message{Kind: kindAppend, Cluster: r.meta.Cluster, Term: r.meta.Term, Round: r.round})
			continue
		}
		r.sendAppend(host, p)
	}
}

// sortedPeers yields the peers in a fixed order, so that a run can be replayed.
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

func (r *Replica) broadcastAppend() {
	for host, p := range r.sortedPeers() {
		if !p.paused {
			r.sendAppend(host, p)
		}
	}
}

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

// snapshot encodes the state as applied now.
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

// refused steps back to where the logs may meet. A host that held more before
// its restart than it holds now has lost synced data: it must not vote.
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

// advance commits what a quorum holds, counting only entries of this term.
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
				r.broadcastAppend() // followers serve entry hosts: tell them at once
			}
			return
		}
	}
}

// commitTo applies everything up to index.
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

// compact writes a snapshot when enough was applied since the last one.
func (r *Replica) compact() {
	if r.applied-r.log.snapshotIndex < uint64(r.cfg.CompactEvery) && r.unsnapshottedBytes < snapshotBytes {
		return
	}
	r.unsnapshottedBytes = 0
	s := r.snapshot()
	r.log.compact(s.Index, s.Term, decodeMembers(s.Members))
	r.emit(SaveSnapshot{Snapshot: s, Keep: r.log.entriesFrom(s.Index+1, len(r.log.entries))})
}

// leaveIfRemoved makes a leader step down once its removal is committed.
func (r *Replica) stepDownIfRemoved() {
	if r.role == Leader && r.membersIndex <= r.commit && !r.isVoter(r.cfg.Host, r.run.Incarnation) {
		r.sendHeartbeats() // the others learn of the commit from this last round
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

// stepMembers takes the next single step towards the wanted member list.
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

// nextMembers returns the member list one step nearer to the wanted one, nil
// if there is nothing to do now. A host whose data folder changed is made a
// non-voter first; a non-voter is promoted once it holds all committed entries.
func (r *Replica) nextMembers() []Member {
	want := r.machine.DesiredMembers()
	if want == nil {
		want = r.currentSpecs()
	}
	if r.cfg.OpenMembership {
		want = r.openSpecs()
	}
	if next := r.demoteLostHost(); next != nil {
		return next
	}
	for _, w := range want {
		if next := r.nextMembersFor(w); next != nil {
			return next
		}
	}
	if !r.allDesiredVote(want) {
		return nil // a removal before would leave too few to bear a failure
	}
	for _, m := range r.members {
		if !slices.ContainsFunc(want, func(w MemberSpec) bool { return w.Host == m.Host }) {
			return withoutMember(r.members, m.Host)
		}
	}
	return nil
}

// allVote reports whether every wanted voter is a voter.
func (r *Replica) allDesiredVote(want []MemberSpec) bool {
	return !slices.ContainsFunc(want, func(w MemberSpec) bool {
		m, ok := findMember(r.members, w.Host)
		return w.Voter && !(ok && m.Voter)
	})
}

// demoteLost makes a non-voter of a host that lost its data folder or a part.
func (r *Replica) demoteLostHost() []Member {
	for _, m := range r.members {
		p := r.peers[m.Host]
		if p == nil {
			continue
		}
		asks, asked := r.joiners[m.Host]
		replaced := asked && asks.Incarnation != m.Incarnation
		if !replaced && !(p.lostData && m.Voter) {
			continue
		}
		if replaced {
			m.Incarnation = asks.Incarnation
			if asks.Peers != "" {
				m.Domain, m.Peers = asks.Domain, asks.Peers
			}
		}
		delete(r.joiners, m.Host)
		delete(r.peers, m.Host)
		m.Voter = false
		return withMember(r.members, m)
	}
	return nil
}

func (r *Replica) nextMembersFor(w MemberSpec) []Member {
	m, ok := findMember(r.members, w.Host)
	if !ok {
		asks, asked := r.joiners[w.Host]
		if !asked {
			return nil
		}
		delete(r.joiners, w.Host)
		return withMember(r.members, Member{Host: w.Host, Domain: w.Domain, Peers: w.Peers, Incarnation: asks.Incarnation})
	}
	p := r.peers[w.Host]
	if w.Voter && !m.Voter && p != nil && p.silent < electionTicks && p.match >= r.commit {
		m.Voter = true
		return withMember(r.members, m)
	}
	if !w.Voter && m.Voter {
		m.Voter = false
		return withMember(r.members, m)
	}
	return nil
}

// asWanted takes the members as they are: a demoted host is a voter again
// after its repair.
func (r *Replica) currentSpecs() []MemberSpec {
	list := make([]MemberSpec, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, MemberSpec{Host: m.Host, Domain: m.Domain, Peers: m.Peers, Voter: true})
	}
	return list
}

// silentTicks is after how long a silent member may make place: longer than an
// election, shorter than the time in which a successor must count.
const silentMemberTicks = 2 * electionTicks

// openWanted takes the members and those who ask to join. A silent voter goes
// once enough voters are there to bear the tolerated loss without it; a silent
// non-voter goes at once.
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
