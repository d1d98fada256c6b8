package kqreplica

// resign gives up leadership or a candidacy and tells the other members, so that they
// elect a leader without waiting for this one to fall silent. It saves nothing and
// reports on nothing that is not saved.
func (r *Replica) resign() {
	wasLeader := r.role == Leader
	if wasLeader || r.role == Candidate {
		r.becomeFollower(r.meta.Term, "")
	}
	if !wasLeader {
		return
	}
	for _, m := range r.members {
		if m.Host != r.cfg.Host {
			r.send(m.Host, Message{Kind: kindResigned, Cluster: r.meta.Cluster, Term: r.meta.Term})
		}
	}
}

func (r *Replica) linkUp(peer string) {
	r.linked[peer] = true
	if r.role == Candidate {
		r.requestVote(peer) // requests sent before the link was up were lost
	}
	r.campaignAtStartup()
	p := r.peers[peer]
	if r.role != Leader || p == nil {
		return
	}
	p.next, p.paused = p.match+1, false
	r.sendAppend(peer, p)
}

func (r *Replica) linkDown(peer string) {
	delete(r.linked, peer)
	r.loseLeader(peer)
}

// loseLeader shortens the election timeout if the peer was the leader, because its link
// broke or it resigned. Both are stronger evidence of a failed leader than a late
// heartbeat.
func (r *Replica) loseLeader(peer string) {
	if r.role != Follower || peer != r.leader {
		return
	}
	r.leader = ""
	r.electionTimeout = r.elapsed + 1 + r.rng.IntN(electionSpread)
}
