package kqreplica

import (
	"maps"
	"math"
	"slices"
)

// noRound is the round of a read whose index is not known yet.
const roundUnknown = math.MaxUint64

func (r *Replica) handleRead(ev Read) {
	if r.role == Leader {
		r.startRead(quorumRead{id: ev.ID}, ev.Lazy)
		return
	}
	r.forwardedReads[ev.ID] = &forwardedRead{lazy: ev.Lazy}
	if r.leader != "" {
		r.forwardRead(ev.ID)
	}
}

func (r *Replica) forwardRead(id string) {
	r.send(r.leader, Message{Kind: kindRead, Cluster: r.meta.Cluster, Term: r.meta.Term, ID: id, OK: r.forwardedReads[id].lazy})
}

// askLeader asks a new leader for the reads that wait: those of before may have
// been lost with the old one.
func (r *Replica) forwardReads() {
	for _, id := range slices.Sorted(maps.Keys(r.forwardedReads)) {
		r.forwardRead(id)
	}
}

// adoptReads takes the reads that waited for a leader, which this host is now.
func (r *Replica) takeOverReads() {
	for _, id := range slices.Sorted(maps.Keys(r.forwardedReads)) {
		r.reads = append(r.reads, quorumRead{id: id, round: roundUnknown, ticks: r.forwardedReads[id].ticks})
		delete(r.forwardedReads, id)
	}
}

// openReads starts the reads that waited for the first commit of this leader's
// term, all with one round; false says that there are none.
func (r *Replica) startWaitingReads() bool {
	opened := false
	for i := range r.reads {
		if q := &r.reads[i]; q.round == roundUnknown {
			q.index, q.round, opened = r.commit, r.round+1, true
		}
	}
	if opened {
		r.sinceHeartbeat = 0
		r.sendHeartbeats()
	}
	return opened
}

// startRead notes the commit index and asks a quorum whether this host still
// leads; before the first commit of its term a leader does not know it.
func (r *Replica) startRead(q quorumRead, lazy bool) {
	if term, _ := r.log.term(r.commit); term != r.meta.Term {
		q.round = roundUnknown
		r.reads = append(r.reads, q)
		return
	}
	q.index, q.round = r.commit, r.round+1
	r.reads = append(r.reads, q)
	if lazy {
		return // the next heartbeat starts that round
	}
	r.round++
	for host, p := range r.sortedPeers() {
		if m, _ := findMember(r.members, host); m.Voter && !p.paused {
			r.sendAppend(host, p)
		}
	}
	r.confirmReads()
}

func (r *Replica) confirmReads() {
	if r.role != Leader {
		return
	}
	rest := r.reads[:0]
	for _, q := range r.reads {
		if r.hasQuorum(func(h string) bool { return h == r.cfg.Host || r.peers[h] != nil && r.peers[h].round >= q.round }) {
			r.answerRead(q, true)
			continue
		}
		rest = append(rest, q)
	}
	r.reads = rest
}

func (r *Replica) answerRead(q quorumRead, ok bool) {
	if q.from == "" {
		r.emit(ReadResult{ID: q.id, Index: q.index, OK: ok})
		return
	}
	r.send(q.from, Message{Kind: kindReadReply, Cluster: r.meta.Cluster, Term: r.meta.Term, ID: q.id, Index: q.index, OK: ok})
}

func (r *Replica) onRead(from string, m Message) {
	q := quorumRead{id: m.ID, from: from}
	if r.role != Leader {
		r.answerRead(q, false)
		return
	}
	r.startRead(q, m.OK)
}

func (r *Replica) onReadReply(m Message) {
	if _, ok := r.forwardedReads[m.ID]; !ok {
		return
	}
	delete(r.forwardedReads, m.ID)
	r.emit(ReadResult{ID: m.ID, Index: m.Index, OK: m.OK})
}

// expireReads gives up reads that no quorum confirmed in time.
func (r *Replica) expireReads() {
	rest := r.reads[:0]
	for _, q := range r.reads {
		q.ticks++
		if q.ticks >= readTimeoutTicks {
			r.answerRead(q, false)
			continue
		}
		rest = append(rest, q)
	}
	r.reads = rest
	for _, id := range slices.Sorted(maps.Keys(r.forwardedReads)) {
		a := r.forwardedReads[id]
		if a.ticks++; a.ticks > readTimeoutTicks {
			delete(r.forwardedReads, id)
			r.emit(ReadResult{ID: id})
		}
	}
}
