package kqreplica

import "kumquatglade/internal/state/kqjournal"

// Kinds of kqjournal.Entry.
const (
	kindNoop    = "noop"
	kindMembers = "members"
	kindCommand = "command"
)

// entries is the log in memory: a base that a snapshot covers and the entries
// behind it.
type entries struct {
	base     uint64
	baseTerm uint64
	members  []Member // member list at base
	list     []kqjournal.Entry
}

func (l *entries) last() uint64 {
	return l.base + uint64(len(l.list))
}

func (l *entries) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index, false if the log does not reach it.
func (l *entries) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.list[index-l.base-1].Term, true
	}
}

// from returns at most n entries from index on.
func (l *entries) from(index uint64, n int) []kqjournal.Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	list := l.list[index-l.base-1:]
	if len(list) > n {
		list = list[:n]
	}
	return append([]kqjournal.Entry(nil), list...)
}

// put overwrites the log from the first of batch on.
func (l *entries) put(batch []kqjournal.Entry) {
	keep := batch[0].Index - l.base - 1
	l.list = append(l.list[:keep:keep], batch...)
}

// compact drops the entries up to index, which a snapshot now covers.
func (l *entries) compact(index, term uint64, members []Member) {
	rest := l.from(index+1, len(l.list))
	l.base, l.baseTerm, l.members, l.list = index, term, members, rest
}

// membersAt returns the member list in force at index.
func (l *entries) membersAt(index uint64) []Member {
	list := l.members
	for _, e := range l.list {
		if e.Index > index {
			break
		}
		if e.Kind == kindMembers {
			list = decodeMembers(e.Data)
		}
	}
	return list
}
