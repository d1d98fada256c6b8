package kqreplica

func (r *Replica) read(ev Read) {
	if r.role == Leader {
		r.startRead(read{id: ev.ID}, ev.Lazy)
		return
	}
	if r.leader == "" {
		r.emit(Readable{ID: ev.ID})
		return
	}
	r.asked[ev.ID] = 0
	r.send(r.leader, Message{Kind: kindRead, Cluster: r.meta.Cluster, Term: r.meta.Term, ID: ev.ID, OK: ev.Lazy})
}

// startRead notes the commit index and asks a quorum whether this host still
// leads; before the first commit of its term a leader does not know it.
func (r *Replica) startRead(q read, lazy bool) {
	if term, _ := r.log.term(r.commit); term != r.meta.Term {
		r.answerRead(q, false)
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
	for id, n := range r.asked {
		if n >= readTicks {
			delete(r.asked, id)
			r.emit(Readable{ID: id})
			continue
		}
		r.asked[id] = n + 1
	}
}
