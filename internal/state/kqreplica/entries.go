package kqreplica

import "kumquatglade/internal/state/kqjournal"

// Kinds of kqjournal.Entry.
const (
	entryNoop    = "noop"
	entryMembers = "members"
	entryCommand = "command"
)

// entries is the log in memory: a base that a snapshot covers and the entries
// behind it.
type memoryLog struct {
	snapshotIndex   uint64
	snapshotTerm    uint64
	snapshotMembers []Member // member list at base
	entries         []kqjournal.Entry
}

func (l *memoryLog) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term at index, false if the log does not reach it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotTerm, true
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapshotIndex-1].Term, true
	}
}

// from returns at most n entries from index on.
func (l *memoryLog) entriesFrom(index uint64, n int) []kqjournal.Entry {
	if index <= l.snapshotIndex || index > l.lastIndex() {
		return nil
	}
	list := l.entries[index-l.snapshotIndex-1:]
	if len(list) > n {
		list = list[:n]
	}
	return append([]kqjournal.Entry(nil), list...)
}

// put overwrites the log from the first of batch on.
func (l *memoryLog) overwrite(batch []kqjournal.Entry) {
	keep := batch[0].Index - l.snapshotIndex - 1
	l.entries = append(l.entries[:keep:keep], batch...)
}

// compact drops the entries up to index, which a snapshot now covers.
func (l *memoryLog) compact(index, term uint64, members []Member) {
	rest := l.entriesFrom(index+1, len(l.entries))
	l.snapshotIndex, l.snapshotTerm, l.snapshotMembers, l.entries = index, term, members, rest
}

// membersAt returns the member list in force at index.
func (l *memoryLog) membersAt(index uint64) []Member {
	list := l.snapshotMembers
	for _, e := range l.entries {
		if e.Index > index {
			break
		}
		if e.Kind == entryMembers {
			list = decodeMembers(e.Data)
		}
	}
	return list
}
