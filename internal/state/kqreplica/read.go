package kqreplica

import (
	"maps"
	"math"
	"slices"
)

// noRound is the round of a read whose index is not known yet.
const noRound = math.MaxUint64

func (r *Replica) read(ev Read) {
	if r.role == Leader {
		r.startRead(read{id: ev.ID}, ev.Lazy)
		return
	}
	r.asked[ev.ID] = &ask{lazy: ev.Lazy}
	if r.leader != "" {
		r.askRead(ev.ID)
	}
}

func (r *Replica) askRead(id string) {
	r.send(r.leader, Message{Kind: kindRead, Cluster: r.meta.Cluster, Term: r.meta.Term, ID: id, OK: r.asked[id].lazy})
}

// askLeader asks a new leader for the reads that wait: those of before may have
// been lost with the old one.
func (r *Replica) askLeader() {
	for _, id := range slices.Sorted(maps.Keys(r.asked)) {
		r.askRead(id)
	}
}

// adoptReads takes the reads that waited for a leader, which this host is now.
func (r *Replica) adoptReads() {
	for _, id := range slices.Sorted(maps.Keys(r.asked)) {
		r.reads = append(r.reads, read{id: id, round: noRound, ticks: r.asked[id].ticks})
		delete(r.asked, id)
	}
}

// openReads starts the reads that waited for the first commit of this leader's
// term, all with one round; false says that there are none.
func (r *Replica) openReads() bool {
	opened := false
	for i := range r.reads {
		if q := &r.reads[i]; q.round == noRound {
			q.index, q.round, opened = r.commit, r.round+1, true
		}
	}
	if opened {
		r.beat = 0
		r.heartbeat()
	}
	return opened
}

// startRead notes the commit index and asks a quorum whether this host still
// leads; before the first commit of its term a leader does not know it.
func (r *Replica) startRead(q read, lazy bool) {
	if term, _ := r.log.term(r.commit); term != r.meta.Term {
		q.round = noRound
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
		if m, _ := find(r.members, host); m.Voter && !p.paused {
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
		if r.quorum(func(h string) bool { return h == r.cfg.Host || r.peers[h] != nil && r.peers[h].round >= q.round }) {
			r.answerRead(q, true)
			continue
		}
		rest = append(rest, q)
	}
	r.reads = rest
}

func (r *Replica) answerRead(q read, ok bool) {
	if q.from == "" {
		r.emit(Readable{ID: q.id, Index: q.index, OK: ok})
		return
	}
	r.send(q.from, Message{Kind: kindReadable, Cluster: r.meta.Cluster, Term: r.meta.Term, ID: q.id, Index: q.index, OK: ok})
}

func (r *Replica) onRead(from string, m Message) {
	q := read{id: m.ID, from: from}
	if r.role != Leader {
		r.answerRead(q, false)
		return
	}
	r.startRead(q, m.OK)
}

func (r *Replica) onReadable(m Message) {
	if _, ok := r.asked[m.ID]; !ok {
		return
	}
	delete(r.asked, m.ID)
	r.emit(Readable{ID: m.ID, Index: m.Index, OK: m.OK})
}

// expireReads gives up reads that no quorum confirmed in time.
func (r *Replica) expireReads() {
	rest := r.reads[:0]
	for _, q := range r.reads {
		q.ticks++
		if q.ticks >= readTicks {
			r.answerRead(q, false)
			continue
		}
		rest = append(rest, q)
	}
	r.reads = rest
	for _, id := range slices.Sorted(maps.Keys(r.asked)) {
		a := r.asked[id]
		if a.ticks++; a.ticks > readTicks {
			delete(r.asked, id)
			r.emit(Readable{ID: id})
		}
	}
}
