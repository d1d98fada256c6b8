package kqreplica

import "kumquatglade/internal/state/kqjournal"

func (r *Replica) resetElectionTimeout() {
	r.elapsed = 0
	r.electionTimeout = electionTicks + r.rng.IntN(electionSpread+1)
}

func (r *Replica) tick() {
	r.elapsed++
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
		// A host that was removed may not know it: without a leader it asks too.
		if r.elapsed%helloTicks == 0 && (r.leader == "" || !r.isMember(r.cfg.Host, r.run.Incarnation)) {
			r.sendHello()
		}
	}
}

// counts reports whether the data folder of host is a member's.
func (r *Replica) isMember(host, incarnation string) bool {
	m, ok := findMember(r.members, host)
	return ok && m.Incarnation == incarnation
}

// votes reports whether the data folder of host may vote.
func (r *Replica) isVoter(host, incarnation string) bool {
	m, ok := findMember(r.members, host)
	return ok && m.Voter && m.Incarnation == incarnation
}

// hasten shortens the time until the next pre-vote: a host that knows no leader
// disturbs none by asking, since those that hear one refuse.
func (r *Replica) shortenElectionTimeout() {
	r.electionTimeout = r.elapsed + preVoteTicks + r.rng.IntN(preVoteSpread)
}

// hurry asks for votes as soon as a majority is linked after the start: where all
// hosts were down nobody is served before there is a leader, and a leader that is
// there already is heard by a majority, which refuses.
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

// makeWay lets another candidate go first: hosts that start at the same moment
// would split the votes. It does so once, so that a candidate whose votes do not
// arrive holds nobody up.
func (r *Replica) yieldTo(from string) {
	if r.role == Candidate {
		if r.startup != startupCampaigning || !r.preVote || r.cfg.Host < from {
			return
		}
		r.role = Follower
	}
	r.startup = startupOver
}

// awaitVotes gives the answers to a vote time to come, twice as much after each
// vote in vain: where messages or syncs are slow a new vote would only outdate
// the one under way.
func (r *Replica) backOffVote() {
	r.elapsed = 0
	wait := (preVoteTicks + r.rng.IntN(preVoteSpread)) << r.voteBackoff
	r.electionTimeout = min(2*wait, electionTicks+r.rng.IntN(2*electionTicks))
	r.voteBackoff = min(r.voteBackoff+1, maxVoteBackoff)
}

// campaign begins a pre-vote, if this host is a voter, or repeats it: what was
// granted for the same term still counts.
func (r *Replica) campaign() {
	again := r.role == Candidate && r.preVote
	r.resetElectionTimeout()
	r.shortenElectionTimeout()
	r.startup = startupOver
	// Also a host that may not vote has lost its leader: it asks to join again,
	// and holds no candidate up for having heard one.
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

// askVotes asks all other voters for what this candidate needs now.
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

// countVotes moves on once a quorum of the voters has granted.
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

// quorum reports whether a majority of the voters satisfies ok.
func (r *Replica) hasQuorum(ok func(host string) bool) bool {
	voters, yes := r.countVoters(ok)
	return yes > voters/2
}

// held reports whether enough voters hold what ok says: a majority, and more
// hosts than may lose their folders at once, or all.
func (r *Replica) hasCommitQuorum(ok func(host string) bool) bool {
	voters, yes := r.countVoters(ok)
	return yes >= max(voters/2+1, min(r.cfg.Tolerance+1, voters))
}

// count returns how many voters there are, and how many of them satisfy ok.
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

// upToDate reports whether a log that ends so may lead this one.
func (r *Replica) isUpToDate(m Message) bool {
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.lastIndex()
}

// heardLeader reports whether a leader was heard within the least timeout, so
// that a host that was cut off cannot disturb it.
func (r *Replica) heardLeaderRecently() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.elapsed < electionTicks
}

func (r *Replica) onPreVote(from string, m Message) {
	if m.Term > r.meta.Term && r.isUpToDate(m) && !r.heardLeaderRecently() {
		r.yieldTo(from)
		r.send(from, Message{Kind: kindPreVoteReply, Cluster: r.meta.Cluster, Term: m.Term, OK: true})
		return
	}
	// A refusal carries this host's term: a candidate that lags behind it would
	// otherwise ask for the same old term for ever.
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
	free := r.meta.Vote == "" || r.meta.Vote == from
	ok := free && r.isUpToDate(m)
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
	want := r.meta.Term
	if pre {
		want++
	}
	if m.Term == want && m.OK {
		r.votes[from] = true
		r.countVotes()
	}
}

// follow takes a term and its leader, if known.
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

// lead begins a term as leader with an entry of its own: only that one may be
// committed by counting, and with it all before it.
func (r *Replica) becomeLeader() {
	r.role, r.leader, r.voteBackoff = Leader, r.cfg.Host, 0
	r.peers = map[string]*progress{}
	r.joiners, r.identityRequests = map[string]Member{}, map[string]string{}
	r.sinceHeartbeat, r.elapsed = 0, 0
	r.trackPeers()
	r.takeOverReads()
	r.appendAsLeader([]kqjournal.Entry{r.nextEntry(entryNoop, nil)})
}

// trackPeers keeps one progress for each other member.
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

// nextEntry returns the entry that a leader would append now.
func (r *Replica) nextEntry(kind string, data []byte) kqjournal.Entry {
	return kqjournal.Entry{Index: r.log.lastIndex() + 1, Term: r.meta.Term, Kind: kind, Data: data}
}

// appendOwn appends entries as leader, lasting by one sync, and sends them.
func (r *Replica) appendAsLeader(batch []kqjournal.Entry) {
	if len(batch) == 0 {
		return
	}
	r.log.overwrite(batch)
	r.emit(SaveEntries{Entries: batch})
	r.broadcastAppend()
	r.advanceCommit()
}

func (r *Replica) linkUp(peer string) {
	r.linked[peer] = true
	if r.role == Candidate {
		r.requestVote(peer) // what was sent before did not reach it
	}
	r.campaignAtStartup()
	p := r.peers[peer]
	if r.role != Leader || p == nil {
		return
	}
	p.next, p.paused = p.match+1, false
	r.sendAppend(peer, p)
}

// linkDown begins an election soon when the leader's link broke: a broken
// connection says more than a heartbeat that is late.
func (r *Replica) linkDown(peer string) {
	delete(r.linked, peer)
	if r.role != Follower || peer != r.leader {
		return
	}
	r.leader = ""
	r.electionTimeout = r.elapsed + 1 + r.rng.IntN(electionSpread)
}
