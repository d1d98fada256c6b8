package kqreplica

import (
	"fmt"

	"kumquatglade/internal/state/kqjournal"
)

// receive checks the run of the sender before it handles any message other than a
// stale-run notice. It handles the messages that hosts without a cluster exchange
// and passes the others on.
func (r *Replica) receive(from string, m Message) {
	run, err := DecodeRun(m.Run)
	if err != nil || from == r.cfg.Host {
		return
	}
	if m.Kind == kindStaleRun {
		r.onStaleRun(m)
		return
	}
	if !r.acceptRun(from, run) {
		r.send(from, Message{Kind: kindStaleRun, Cluster: r.meta.Cluster, ID: m.Run})
		return
	}
	switch m.Kind {
	case kindHello:
		r.onHello(from, run, m)
		return
	case kindHelloReply:
		r.onHelloReply(from, m)
		return
	case kindIdentify:
		r.send(from, Message{Kind: kindIdentity, ID: m.ID, Members: []Member{r.selfMember()}})
		return
	case kindIdentity:
		r.onIdentity(from, run, m)
		return
	case kindFounded:
		r.onFounded(m)
		return
	}
	if r.role == Unjoined {
		// The sender is a member that still lists this host with its former data
		// folder. It may be the only host to ask: the seed hosts may all be down
		// or without a cluster themselves.
		r.send(from, Message{Kind: kindHello})
		return
	}
	if m.Cluster != r.meta.Cluster {
		return
	}
	r.receiveMember(from, run, m)
}

// receiveMember handles the messages that only hosts of the same cluster send.
func (r *Replica) receiveMember(from string, run kqjournal.Run, m Message) {
	switch m.Kind {
	case kindAppend:
		r.onAppend(from, m)
	case kindSnapshot:
		r.onSnapshot(from, m)
	case kindForwardHello:
		r.onForwardedHello(m)
	case kindResigned:
		r.onResigned(from, m)
	case kindRead:
		r.onRead(from, m)
	case kindReadReply:
		r.onReadReply(m)
	case kindAppendReply:
		if r.isMember(from, run.Incarnation) {
			r.adoptHigherTerm(m)
			r.onAppendReply(from, m)
			return
		}
		// The sender replicates with a data folder that the member list does not
		// name. It may not ask to join by itself, since an older member list may
		// still name its folder.
		if _, ok := findMember(r.members, from); ok && r.role == Leader {
			r.requestIdentity(from)
		}
	case kindPreVote, kindVote:
		r.onVoteRequest(from, run, m)
	case kindPreVoteReply, kindVoteReply:
		if r.isVoter(from, run.Incarnation) {
			r.onVoteReply(from, m, m.Kind == kindPreVoteReply)
		}
	}
}

// onVoteRequest answers a pre-vote or vote request even if this host's own member
// list has this host as a non-voter: the candidate may hold a newer list in which
// this host is a voter, and counts the vote only in that case. A candidate whose
// data folder differs from the one in the member list gets no answer.
func (r *Replica) onVoteRequest(from string, run kqjournal.Run, m Message) {
	if member, ok := findMember(r.members, from); ok && member.Incarnation != run.Incarnation {
		return
	}
	if m.Kind == kindPreVote {
		r.onPreVote(from, m)
		return
	}
	r.onVote(from, m)
}

// adoptHigherTerm becomes a follower if a member answered with a higher term.
func (r *Replica) adoptHigherTerm(m Message) {
	if m.Term > r.meta.Term {
		r.becomeFollower(m.Term, "")
	}
}

// acceptRun records the newest run of a peer. It returns false if the message comes
// from an earlier start of the peer or from an old copy of its data folder.
func (r *Replica) acceptRun(from string, run kqjournal.Run) bool {
	known := r.meta.Seen[from]
	if run == known {
		return true
	}
	if run.Incarnation == known.Incarnation && run.Boot <= known.Boot {
		return false
	}
	r.meta.Seen[from] = run
	r.saveMeta()
	return true
}

func (r *Replica) onStaleRun(m Message) {
	if m.ID == EncodeRun(r.run) {
		r.emit(Halt{Reason: "the data folder is an older copy than peers have seen; move it away and start empty"})
	}
}

func (r *Replica) onAppend(from string, m Message) {
	if !contiguous(m) || !r.acceptLeader(from, m) {
		return
	}
	ok, hint := r.appendFromLeader(m)
	if !ok {
		r.send(from, Message{Kind: kindAppendReply, Cluster: r.meta.Cluster, Term: r.meta.Term, Index: hint, Round: m.Round})
		return
	}
	match := m.Index + uint64(len(m.Entries))
	r.send(from, Message{Kind: kindAppendReply, Cluster: r.meta.Cluster, Term: r.meta.Term, Index: match, Round: m.Round, OK: true})
	r.commitTo(min(m.Commit, match))
}

func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

// onResigned gives up a leader that resigned.
func (r *Replica) onResigned(from string, m Message) {
	if m.Term == r.meta.Term {
		r.resignedTerm = m.Term
		r.loseLeader(from)
	}
}

// acceptLeader follows the sender unless its term is older than this host's. Messages of
// a leader that has resigned since are ignored: they may arrive late.
func (r *Replica) acceptLeader(from string, m Message) bool {
	if m.Term == r.resignedTerm {
		return false
	}
	if m.Term < r.meta.Term {
		r.send(from, Message{Kind: kindAppendReply, Cluster: r.meta.Cluster, Term: r.meta.Term, Index: r.log.lastIndex()})
		return false
	}
	if m.Term > r.meta.Term || r.role != Follower || r.leader != from {
		r.becomeFollower(m.Term, from)
	}
	r.elapsed = 0
	return true
}

// appendFromLeader stores the entries if the log has the leader's term at the index
// before them. Otherwise it returns false and a hint: the index at which the logs
// may agree, after which the leader should continue.
func (r *Replica) appendFromLeader(m Message) (ok bool, hint uint64) {
	if m.Index < r.log.snapshotIndex {
		skip := r.log.snapshotIndex - m.Index
		if uint64(len(m.Entries)) <= skip {
			return true, 0 // the snapshot covers all of these entries
		}
		m.Entries, m.Index, m.LogTerm = m.Entries[skip:], r.log.snapshotIndex, r.log.snapshotTerm
	}
	term, have := r.log.term(m.Index)
	if !have {
		return false, r.log.lastIndex()
	}
	if term != m.LogTerm {
		return false, r.lastIndexBeforeTerm(m.Index, term)
	}
	r.storeEntries(m.Entries)
	return true, 0
}

// lastIndexBeforeTerm searches backwards from index for the last entry whose term
// is not the given one. It stops at the commit index, up to which the logs agree.
func (r *Replica) lastIndexBeforeTerm(index, term uint64) uint64 {
	for index > r.commit {
		t, ok := r.log.term(index)
		if !ok || t != term {
			break
		}
		index--
	}
	return index
}

// storeEntries keeps the entries that the log already holds and overwrites the log
// from the first entry that differs.
func (r *Replica) storeEntries(list []kqjournal.Entry) {
	for i, e := range list {
		term, have := r.log.term(e.Index)
		if have && term == e.Term {
			continue
		}
		if e.Index <= r.commit {
			r.emit(Halt{Reason: fmt.Sprintf("entry %d of term %d contradicts a committed one", e.Index, e.Term)})
			return
		}
		r.log.overwrite(list[i:])
		r.emit(SaveEntries{Entries: list[i:]})
		r.updateMembers()
		return
	}
}

func (r *Replica) onSnapshot(from string, m Message) {
	if m.Snapshot == nil || !r.acceptLeader(from, m) {
		return
	}
	s := *m.Snapshot
	if s.Index > r.commit {
		r.installSnapshot(s)
	}
	r.send(from, Message{Kind: kindAppendReply, Cluster: r.meta.Cluster, Term: r.meta.Term, Index: s.Index, Round: m.Round, OK: true})
}

// installSnapshot replaces the state by the leader's snapshot. Entries after the
// snapshot are kept if the log agrees with it at its index.
func (r *Replica) installSnapshot(s kqjournal.Snapshot) {
	if err := r.machine.Restore(s.State); err != nil {
		r.emit(Halt{Reason: "the leader's snapshot cannot be read: " + err.Error()})
		return
	}
	members := decodeMembers(s.Members)
	if term, have := r.log.term(s.Index); have && term == s.Term {
		r.log.compact(s.Index, s.Term, members)
	} else {
		r.log = memoryLog{snapshotIndex: s.Index, snapshotTerm: s.Term, snapshotMembers: members}
	}
	r.commit, r.applied, r.unsnapshottedBytes = s.Index, s.Index, 0
	r.updateMembers()
	r.emit(SaveSnapshot{Snapshot: s, Keep: r.log.entriesFrom(s.Index+1, len(r.log.entries))})
	r.emit(Restored{Index: s.Index})
}
