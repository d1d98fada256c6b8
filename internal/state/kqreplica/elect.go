package kqreplica

import "kumquatglade/internal/state/kqjournal"

func (r *Replica) resetElectionTimeout() {
	r.elapsed = 0
	r.electionTimeout = electionTicks + r.rng.IntN(electionSpread+1)
}

func (r *Replica) tick() {
	r.elapsed++
	r.now++
	r.countLeaderless()
	r.expireReads()
	switch r.role {
	case Unjoined:
		r.tickUnjoined()
	case Leader:
		r.tickLeader()
	default:
		if r.elapsed >= r.electionTimeout {
			r.campaign()
		}
		// A removed host may not know that it was removed, so it also sends
		// a hello while it knows no leader.
		if r.elapsed%helloTicks == 0 && (r.leader == "" || !r.isMember(r.cfg.Host, r.run.Incarnation)) {
			r.sendHello()
		}
	}
}

// countLeaderless counts the ticks in which there could be a leader and is none.
func (r *Replica) countLeaderless() {
	switch {
	case r.leader != "":
		r.leaderless = 0
	case r.hasQuorum(func(host string) bool { return host == r.cfg.Host || r.linked[host] }):
		r.leaderless++
	}
}

// isMember reports whether the member list names host with this incarnation of
// its data folder.
func (r *Replica) isMember(host, incarnation string) bool {
	m, ok := findMember(r.members, host)
	return ok && m.Incarnation == incarnation
}

// isVoter reports whether the member list names host as a voter with this
// incarnation of its data folder.
func (r *Replica) isVoter(host, incarnation string) bool {
	m, ok := findMember(r.members, host)
	return ok && m.Voter && m.Incarnation == incarnation
}

// shortenElectionTimeout brings the next pre-vote forward. A host without a leader
// disrupts no existing leader this way, because hosts that hear from one refuse
// the pre-vote.
func (r *Replica) shortenElectionTimeout() {
	r.electionTimeout = r.elapsed + preVoteTicks + r.rng.IntN(preVoteSpread)
}

// campaignAtStartup starts a campaign as soon as this host is linked to a majority
// of the voters after its start. If all hosts were down, no caller is served until
// there is a leader. If there is a leader already, a majority hears from it and
// refuses the pre-vote.
func (r *Replica) campaignAtStartup() {
	if r.role != Follower || r.leader != "" || r.startup != startupPending || !r.isVoter(r.cfg.Host, r.run.Incarnation) {
		return
	}
	if r.hasQuorum(func(host string) bool { return host == r.cfg.Host || r.linked[host] }) {
		r.campaign()
		if r.role == Candidate {
			r.startup = startupCampaigning
		}
	}
}

// orderedTicks is how long after a majority was linked without a leader hosts prefer one
// candidate over another. A preferred one that gets no further, because its messages do
// not arrive, must not hold up the others for longer.
const orderedTicks = electionTicks / 2

// candidacy is the candidate that a host last granted a pre-vote.
type candidacy struct {
	host  string
	until int // value of Replica.now up to which others have to be preferred over it
}

// prefers reports whether to grant the pre-vote although this host is a candidate itself
// or has just granted one to another. Candidates that wait for one more host all ask it at
// the same moment; if all of them won the pre-vote, they would split the votes. So the
// newer log and then the lower name go first.
func (r *Replica) prefers(from string, m Message) bool {
	if r.leaderless >= orderedTicks {
		return true
	}
	if r.role == Candidate && r.preVote {
		isNewer := m.LogTerm != r.log.lastTerm() || m.Index != r.log.lastIndex() // it is not older
		return isNewer || from < r.cfg.Host
	}
	return r.granted.host == "" || r.now > r.granted.until || from <= r.granted.host
}

// yieldTo records that another candidate got this host's pre-vote and gives up this host's
// own pre-vote, begun or not, for a while.
func (r *Replica) yieldTo(from string) {
	r.startup = startupOver
	r.granted = candidacy{host: from, until: r.now + preVoteTicks}
	if r.role == Candidate && r.preVote && r.leaderless < orderedTicks {
		r.role = Follower
		r.shortenElectionTimeout()
	}
}

// backOffVote sets the time to wait for the answers to a vote and doubles it for
// each failed vote. If messages or disk syncs are slow, starting a new vote too
// early would only invalidate the one in progress.
func (r *Replica) backOffVote() {
	r.elapsed = 0
	wait := (preVoteTicks + r.rng.IntN(preVoteSpread)) << r.voteBackoff
	r.electionTimeout = min(2*wait, electionTicks+r.rng.IntN(2*electionTicks))
	r.voteBackoff = min(r.voteBackoff+1, maxVoteBackoff)
}

// campaign starts a pre-vote if this host is a voter. If a pre-vote is already in
// progress, campaign repeats the requests and keeps the votes granted so far,
// which are for the same term.
func (r *Replica) campaign() {
	again := r.role == Candidate && r.preVote
	r.resetElectionTimeout()
	r.shortenElectionTimeout()
	r.startup = startupOver
	// A non-voter forgets its leader as well: only then does it ask to join
	// again, and grant pre-votes to candidates.
	r.leader = ""
	if !r.isVoter(r.cfg.Host, r.run.Incarnation) {
		return
	}
	r.role, r.leader, r.preVote = Candidate, "", true
	if !again {
		r.votes = map[string]bool{r.cfg.Host: true}
	}
	r.requestVotes()
	r.countVotes()
}

// requestVotes asks all other voters for a pre-vote or a vote, whichever this
// candidate needs now.
func (r *Replica) requestVotes() {
	for _, m := range r.members {
		if m.Host != r.cfg.Host {
			r.requestVote(m.Host)
		}
	}
}

func (r *Replica) requestVote(host string) {
	if m, ok := findMember(r.members, host); !ok || !m.Voter {
		return
	}
	kind, term := kindVote, r.meta.Term
	if r.preVote {
		kind, term = kindPreVote, r.meta.Term+1
	}
	r.send(host, Message{Kind: kind, Cluster: r.meta.Cluster, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm()})
}

// countVotes proceeds from pre-vote to vote, or from vote to leadership, once a
// quorum of the voters has granted it.
func (r *Replica) countVotes() {
	if !r.hasQuorum(func(host string) bool { return r.votes[host] }) {
		return
	}
	if !r.preVote {
		r.becomeLeader()
		return
	}
	r.preVote = false
	r.backOffVote()
	r.meta.Term++
	r.meta.Vote = r.cfg.Host
	r.saveMeta()
	r.votes = map[string]bool{r.cfg.Host: true}
	r.requestVotes()
	r.countVotes()
}

// hasQuorum reports whether a majority of the voters satisfies ok.
func (r *Replica) hasQuorum(ok func(host string) bool) bool {
	voters, yes := r.countVoters(ok)
	return yes > voters/2
}

// hasCommitQuorum reports whether enough voters satisfy ok to commit an entry: a
// majority, and either more voters than may lose their data folders at once or
// all voters.
func (r *Replica) hasCommitQuorum(ok func(host string) bool) bool {
	voters, yes := r.countVoters(ok)
	return yes >= max(voters/2+1, min(r.cfg.Tolerance+1, voters))
}

// countVoters returns how many voters there are and how many of them satisfy ok.
func (r *Replica) countVoters(ok func(host string) bool) (voters, yes int) {
	for _, m := range r.members {
		if !m.Voter {
			continue
		}
		voters++
		if ok(m.Host) {
			yes++
		}
	}
	return voters, yes
}

// isUpToDate reports whether the candidate's log, whose last term and index m
// carries, is at least as recent as the log of this host.
func (r *Replica) isUpToDate(m Message) bool {
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.lastIndex()
}

// heardLeaderRecently reports whether this host leads or heard from the leader
// within the minimum election timeout. Votes are refused in that case, so that a
// host that was disconnected cannot disrupt the leader.
func (r *Replica) heardLeaderRecently() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.elapsed < electionTicks
}

func (r *Replica) onPreVote(from string, m Message) {
	if m.Term > r.meta.Term && r.isUpToDate(m) && !r.heardLeaderRecently() && r.prefers(from, m) {
		r.yieldTo(from)
		r.send(from, Message{Kind: kindPreVoteReply, Cluster: r.meta.Cluster, Term: m.Term, OK: true})
		return
	}
	// A refusal carries this host's term. A candidate whose term is older would
	// otherwise request votes for the same old term forever.
	r.send(from, Message{Kind: kindPreVoteReply, Cluster: r.meta.Cluster, Term: r.meta.Term})
}

func (r *Replica) onVote(from string, m Message) {
	if m.Term < r.meta.Term || r.heardLeaderRecently() {
		r.send(from, Message{Kind: kindVoteReply, Cluster: r.meta.Cluster, Term: r.meta.Term})
		return
	}
	if m.Term > r.meta.Term {
		r.becomeFollower(m.Term, "")
	}
	canVote := r.meta.Vote == "" || r.meta.Vote == from
	ok := canVote && r.isUpToDate(m)
	if ok && r.meta.Vote == "" {
		r.meta.Vote = from
		r.saveMeta()
		r.resetElectionTimeout()
	}
	r.send(from, Message{Kind: kindVoteReply, Cluster: r.meta.Cluster, Term: r.meta.Term, OK: ok})
}

func (r *Replica) onVoteReply(from string, m Message, pre bool) {
	if r.role != Candidate || r.preVote != pre {
		return
	}
	if !m.OK && m.Term > r.meta.Term {
		r.becomeFollower(m.Term, "")
		return
	}
	wantTerm := r.meta.Term
	if pre {
		wantTerm++
	}
	if m.Term == wantTerm && m.OK {
		r.votes[from] = true
		r.countVotes()
	}
}

// becomeFollower adopts a term and its leader; leader is empty if unknown.
func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.meta.Term {
		r.meta.Term, r.meta.Vote = term, ""
		r.saveMeta()
	}
	if r.role == Leader {
		r.stopLeading()
	}
	r.role, r.leader = Follower, leader
	if leader != "" {
		r.voteBackoff = 0
		r.forwardReads()
	}
	r.resetElectionTimeout()
}

// stopLeading reports every unanswered proposal as having an unknown outcome and
// fails the reads in flight.
func (r *Replica) stopLeading() {
	for index, id := range r.proposalIDs {
		delete(r.proposalIDs, index)
		r.emit(ProposalUnanswered{ID: id})
	}
	for _, q := range r.reads {
		r.answerRead(q, false)
	}
	r.reads, r.peers = nil, nil
}

// becomeLeader starts a term as leader by appending an entry of this term. Only
// entries of the leader's own term may be committed by counting replicas;
// committing this one also commits all entries before it.
func (r *Replica) becomeLeader() {
	r.role, r.leader, r.voteBackoff = Leader, r.cfg.Host, 0
	r.peers = map[string]*progress{}
	r.joiners, r.identityRequests = map[string]Member{}, map[string]string{}
	r.sinceHeartbeat, r.elapsed = 0, 0
	r.trackPeers()
	r.takeOverReads()
	r.appendAsLeader([]kqjournal.Entry{r.nextEntry(entryNoop, nil)})
}

// trackPeers keeps one progress record for each other member.
func (r *Replica) trackPeers() {
	for _, m := range r.members {
		if m.Host != r.cfg.Host && r.peers[m.Host] == nil {
			r.peers[m.Host] = &progress{next: r.log.lastIndex() + 1}
		}
	}
	for host := range r.peers {
		if _, ok := findMember(r.members, host); !ok {
			delete(r.peers, host)
		}
	}
}

// nextEntry returns a log entry for the next index in the current term.
func (r *Replica) nextEntry(kind string, data []byte) kqjournal.Entry {
	return kqjournal.Entry{Index: r.log.lastIndex() + 1, Term: r.meta.Term, Kind: kind, Data: data}
}

// appendAsLeader appends the batch to the log, saves it with a single sync, and
// sends it to the other members.
func (r *Replica) appendAsLeader(batch []kqjournal.Entry) {
	if len(batch) == 0 {
		return
	}
	r.log.overwrite(batch)
	r.emit(SaveEntries{Entries: batch})
	r.broadcastAppend()
	r.advanceCommit()
}
