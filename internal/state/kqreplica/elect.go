package kqreplica

import "kumquatglade/internal/state/kqjournal"

func (r *Replica) resetTimeout() {
	r.elapsed = 0
	r.timeout = electionTicks + r.rng.IntN(electionSpread+1)
}

func (r *Replica) tick() {
	r.elapsed++
	r.expireReads()
	switch r.role {
	case Blank:
		r.tickBlank()
	case Leader:
		r.tickLeader()
	default:
		if r.elapsed >= r.timeout {
			r.campaign()
		}
		// A host that was removed may not know it: without a leader it asks too.
		if r.elapsed%helloTicks == 0 && (r.leader == "" || !r.counts(r.cfg.Host, r.run.Incarnation)) {
			r.sayHello()
		}
	}
}

// counts reports whether the data folder of host is a member's.
func (r *Replica) counts(host, incarnation string) bool {
	m, ok := find(r.members, host)
	return ok && m.Incarnation == incarnation
}

// votes reports whether the data folder of host may vote.
func (r *Replica) isVoter(host, incarnation string) bool {
	m, ok := find(r.members, host)
	return ok && m.Voter && m.Incarnation == incarnation
}

// hasten shortens the time until the next pre-vote: a host that knows no leader
// disturbs none by asking, since those that hear one refuse.
func (r *Replica) hasten() {
	r.timeout = r.elapsed + hasteTicks + r.rng.IntN(hasteSpread)
}

// hurry asks for votes as soon as a majority is linked after the start: where all
// hosts were down nobody is served before there is a leader, and a leader that is
// there already is heard by a majority, which refuses.
func (r *Replica) hurry() {
	if r.role != Follower || r.leader != "" || r.early != notYet || !r.isVoter(r.cfg.Host, r.run.Incarnation) {
		return
	}
	if r.quorum(func(host string) bool { return host == r.cfg.Host || r.linked[host] }) {
		r.campaign()
		if r.role == Candidate {
			r.early = first
		}
	}
}

// makeWay lets another candidate go first: hosts that start at the same moment
// would split the votes. It does so once, so that a candidate whose votes do not
// arrive holds nobody up.
func (r *Replica) makeWay(from string) {
	if r.role == Candidate {
		if r.early != first || !r.preVote || r.cfg.Host < from {
			return
		}
		r.role = Follower
	}
	r.early = letPass
}

// awaitVotes gives the answers to a vote time to come, twice as much after each
// vote in vain: where messages or syncs are slow a new vote would only outdate
// the one under way.
func (r *Replica) awaitVotes() {
	r.elapsed = 0
	wait := (hasteTicks + r.rng.IntN(hasteSpread)) << r.inVain
	r.timeout = min(2*wait, electionTicks+r.rng.IntN(2*electionTicks))
	r.inVain = min(r.inVain+1, mostInVain)
}

// campaign begins a pre-vote, if this host is a voter, or repeats it: what was
// granted for the same term still counts.
func (r *Replica) campaign() {
	again := r.role == Candidate && r.preVote
	r.resetTimeout()
	r.hasten()
	r.early = letPass
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
	r.askVotes()
	r.countVotes()
}

// askVotes asks all other voters for what this candidate needs now.
func (r *Replica) askVotes() {
	for _, m := range r.members {
		if m.Host != r.cfg.Host {
			r.askVote(m.Host)
		}
	}
}

func (r *Replica) askVote(host string) {
	if m, ok := find(r.members, host); !ok || !m.Voter {
		return
	}
	kind, term := kindVote, r.meta.Term
	if r.preVote {
		kind, term = kindPreVote, r.meta.Term+1
	}
	r.send(host, Message{Kind: kind, Cluster: r.meta.Cluster, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
}

// countVotes moves on once a quorum of the voters has granted.
func (r *Replica) countVotes() {
	if !r.quorum(func(host string) bool { return r.votes[host] }) {
		return
	}
	if !r.preVote {
		r.lead()
		return
	}
	r.preVote = false
	r.awaitVotes()
	r.meta.Term++
	r.meta.Vote = r.cfg.Host
	r.saveMeta()
	r.votes = map[string]bool{r.cfg.Host: true}
	r.askVotes()
	r.countVotes()
}

// quorum reports whether a majority of the voters satisfies ok.
func (r *Replica) quorum(ok func(host string) bool) bool {
	voters, yes := r.count(ok)
	return yes > voters/2
}

// held reports whether enough voters hold what ok says: a majority, and more
// hosts than may lose their folders at once, or all.
func (r *Replica) held(ok func(host string) bool) bool {
	voters, yes := r.count(ok)
	return yes >= max(voters/2+1, min(r.cfg.Tolerance+1, voters))
}

// count returns how many voters there are, and how many of them satisfy ok.
func (r *Replica) count(ok func(host string) bool) (voters, yes int) {
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
func (r *Replica) upToDate(m Message) bool {
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.last()
}

// heardLeader reports whether a leader was heard within the least timeout, so
// that a host that was cut off cannot disturb it.
func (r *Replica) heardLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.elapsed < electionTicks
}

func (r *Replica) onPreVote(from string, m Message) {
	if m.Term > r.meta.Term && r.upToDate(m) && !r.heardLeader() {
		r.makeWay(from)
		r.send(from, Message{Kind: kindPreVoted, Cluster: r.meta.Cluster, Term: m.Term, OK: true})
		return
	}
	// A refusal carries this host's term: a candidate that lags behind it would
	// otherwise ask for the same old term for ever.
	r.send(from, Message{Kind: kindPreVoted, Cluster: r.meta.Cluster, Term: r.meta.Term})
}

func (r *Replica) onVote(from string, m Message) {
	if m.Term < r.meta.Term || r.heardLeader() {
		r.send(from, Message{Kind: kindVoted, Cluster: r.meta.Cluster, Term: r.meta.Term})
		return
	}
	if m.Term > r.meta.Term {
		r.follow(m.Term, "")
	}
	free := r.meta.Vote == "" || r.meta.Vote == from
	ok := free && r.upToDate(m)
	if ok && r.meta.Vote == "" {
		r.meta.Vote = from
		r.saveMeta()
		r.resetTimeout()
	}
	r.send(from, Message{Kind: kindVoted, Cluster: r.meta.Cluster, Term: r.meta.Term, OK: ok})
}

func (r *Replica) onVoted(from string, m Message, pre bool) {
	if r.role != Candidate || r.preVote != pre {
		return
	}
	if !m.OK && m.Term > r.meta.Term {
		r.follow(m.Term, "")
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
func (r *Replica) follow(term uint64, leader string) {
	if term > r.meta.Term {
		r.meta.Term, r.meta.Vote = term, ""
		r.saveMeta()
	}
	if r.role == Leader {
		r.stopLeading()
	}
	r.role, r.leader = Follower, leader
	if leader != "" {
		r.inVain = 0
		r.askLeader()
	}
	r.resetTimeout()
}

func (r *Replica) stopLeading() {
	for index, id := range r.mine {
		delete(r.mine, index)
		r.emit(Unknown{ID: id})
	}
	for _, q := range r.reads {
		r.answerRead(q, false)
	}
	r.reads, r.peers = nil, nil
}

// lead begins a term as leader with an entry of its own: only that one may be
// committed by counting, and with it all before it.
func (r *Replica) lead() {
	r.role, r.leader, r.inVain = Leader, r.cfg.Host, 0
	r.peers = map[string]*progress{}
	r.joiners, r.proofs = map[string]Member{}, map[string]string{}
	r.beat, r.elapsed = 0, 0
	r.trackPeers()
	r.adoptReads()
	r.appendOwn([]kqjournal.Entry{r.nextEntry(kindNoop, nil)})
}

// trackPeers keeps one progress for each other member.
func (r *Replica) trackPeers() {
	for _, m := range r.members {
		if m.Host != r.cfg.Host && r.peers[m.Host] == nil {
			r.peers[m.Host] = &progress{next: r.log.last() + 1}
		}
	}
	for host := range r.peers {
		if _, ok := find(r.members, host); !ok {
			delete(r.peers, host)
		}
	}
}

// nextEntry returns the entry that a leader would append now.
func (r *Replica) nextEntry(kind string, data []byte) kqjournal.Entry {
	return kqjournal.Entry{Index: r.log.last() + 1, Term: r.meta.Term, Kind: kind, Data: data}
}

// appendOwn appends entries as leader, lasting by one sync, and sends them.
func (r *Replica) appendOwn(batch []kqjournal.Entry) {
	if len(batch) == 0 {
		return
	}
	r.log.put(batch)
	r.emit(SaveEntries{Entries: batch})
	r.broadcast()
	r.advance()
}

func (r *Replica) linkUp(peer string) {
	r.linked[peer] = true
	if r.role == Candidate {
		r.askVote(peer) // what was sent before did not reach it
	}
	r.hurry()
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
	r.timeout = r.elapsed + 1 + r.rng.IntN(electionSpread)
}
