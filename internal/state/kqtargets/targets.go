package kqtargets

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a target.
type State string

// States of a target.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// returnAfter is the time after a leave that named no start from which on a target that
// still announces itself counts as started before it. The leave was then meant for an
// earlier start and came late. It is longer than announcements can be late.
const returnAfter = 30 * time.Second

// maxGoneKept is how many gone targets stay in the directory, so that a late
// announcement cannot revive one.
const maxGoneKept = 2048

// Target is an announcement that a target made since its last start.
type Target struct {
	ID            string        `json:"id"`
	Boot          int64         `json:"boot"` // start of the target in Unix milliseconds, 0 if not announced
	Seq           uint64        `json:"seq"`
	Service       string        `json:"service"`
	Addr          string        `json:"addr"` // IP:port
	Domain        string        `json:"domain"`
	Slots         int           `json:"slots"`
	State         State         `json:"state"`
	ColdRemaining time.Duration `json:"cold,omitempty"`   // remaining warm-up time, during which it is slow, at its first announcement or at ColdAt
	ColdAt        int64         `json:"coldAt,omitempty"` // Unix milliseconds at which ColdRemaining was announced, 0 if at the start
	ColdLimited   bool          `json:"-"`                // of an announcement that is about to be applied: its service has a cold rate
	LeftAt        int64         `json:"leftAt,omitempty"` // Unix milliseconds at which a ready or unknown target left without naming its start
}

// Set is the directory of targets. Apply is deterministic.
type Set struct {
	Targets map[string]*Target `json:"targets"`
	GoneIDs []string           `json:"left"` // IDs of gone targets, in the order in which they left

	liveByAddr map[string]string // ID of the live target at each address; nil until first needed
}

// NewSet returns an empty directory.
func NewSet() Set {
	return Set{Targets: map[string]*Target{}}
}

// IsChange reports whether the announcement, made at the given time, changes the
// directory. Renewals and late announcements do not.
func (s *Set) IsChange(a Target, at time.Time) bool {
	old := s.Targets[a.ID]
	if old == nil {
		return true
	}
	switch {
	case old.LeftAt != 0 && (a.Boot == old.Boot || old.Boot == 0):
		if a.State != Ready {
			return a.Boot != 0 // it names its start, which makes the leave final
		}
		return old.mayReturn(a.Boot, at)
	case a.Boot != old.Boot && a.Boot != 0:
		return a.Boot > old.Boot
	case old.State == Gone:
		return false
	case a.State == Gone:
		return true
	case old.isForeign(a):
		return false
	case a.State == Draining && old.State == Ready && a.Boot != 0:
		return true // a start that drains does not become ready again, so that no later announcement outdates this one
	case a.Seq <= old.Seq:
		return false
	}
	return a.State == Draining && old.State != Draining || a.ColdLimited && old.isColder(a, at) || a.Addr != old.Addr || a.Service != old.Service || a.Slots != old.Slots
}

// isForeign reports whether a ready announcement is not of the target: it names no start,
// while that of the target is known. Other programs write to the same address.
func (t *Target) isForeign(a Target) bool {
	return a.State == Ready && a.Boot == 0 && t.Boot != 0
}

// IsForeign reports whether the announcement is not of the target that it names.
func (s *Set) IsForeign(a Target) bool {
	old := s.Targets[a.ID]
	return old != nil && old.isForeign(a)
}

// InEffect reports whether the announcement of a leave is in effect once it was applied. One that
// names no start and was overtaken is not: it may be of an earlier start.
func (s *Set) InEffect(a Target) bool {
	old := s.Targets[a.ID]
	return old == nil || old.State != Ready || a.Boot != 0 && a.Boot < old.Boot
}

// HasDomain reports whether a target of the directory is in the failure domain.
func (s *Set) HasDomain(domain string) bool {
	for _, t := range s.Targets {
		if t.Domain == domain {
			return true
		}
	}
	return false
}

// mayReturn reports whether a target that left without naming its start is back: it
// started later, or has gone on announcing itself for long.
func (t *Target) mayReturn(boot int64, at time.Time) bool {
	startedLater := t.Boot == 0 && boot > t.LeftAt
	return startedLater || at.Sub(time.UnixMilli(t.LeftAt)) >= returnAfter
}

// IsFinal reports whether the announcement of a leave is in effect here and stays so,
// whatever changes this directory may be missing.
func (s *Set) IsFinal(a Target) bool {
	old := s.Targets[a.ID]
	switch {
	case old == nil || a.Boot == 0 || a.Boot > old.Boot:
		return false
	case a.Boot < old.Boot:
		return true // an earlier start does not return
	}
	return old.State == Gone && old.LeftAt == 0 || a.State == Draining && old.State == Draining
}

// Apply applies an announcement made at the given time and returns the targets that
// changed.
func (s *Set) Apply(a Target, at time.Time) []Target {
	if !s.IsChange(a, at) {
		return nil
	}
	old, named := s.Targets[a.ID], a.Boot != 0
	if old == nil && a.State == Gone && !named {
		a.LeftAt = at.UnixMilli()
	}
	if old != nil && !named {
		a.Boot = old.Boot // otherwise the next announcement of this boot would count as a restart
	}
	sameBoot := old != nil && a.Boot == old.Boot
	if sameBoot && (a.State == Gone || a.State == Draining && old.State == Gone) {
		gone := *old
		gone.State = Gone
		gone.Seq = max(old.Seq, a.Seq)
		gone.LeftAt = 0
		if !named && old.State == Ready {
			gone.LeftAt = at.UnixMilli()
		}
		s.store(gone)
		return []Target{gone}
	}
	if sameBoot && a.State == Draining && a.Seq <= old.Seq {
		late := *old // what else it says may be outdated
		late.State = Draining
		s.store(late)
		return []Target{late}
	}
	if sameBoot && old.State == Draining {
		a.State = Draining // a target that drains stays so until its next start
	}
	a.setColdAt(at)
	changed := s.endOlderAtAddr(&a)
	s.store(a)
	return append(changed, a)
}

// endOlderAtAddr marks the older of two targets with the same address as gone, because
// an address is only reused after its previous target has ended.
func (s *Set) endOlderAtAddr(a *Target) []Target {
	if a.State == Gone {
		return nil
	}
	id, held := s.liveAt(a.Addr)
	if !held || id == a.ID {
		return nil
	}
	t := s.Targets[id]
	if t.Boot > a.Boot && a.Boot != 0 {
		a.State = Gone
		return nil
	}
	gone := *t
	gone.State = Gone
	s.store(gone)
	return []Target{gone}
}

// liveAt returns the ID of the live target at the address, of which there is at most one.
func (s *Set) liveAt(addr string) (id string, ok bool) {
	if s.liveByAddr == nil {
		s.liveByAddr = make(map[string]string, len(s.Targets))
		for id, t := range s.Targets {
			if t.State != Gone {
				s.liveByAddr[t.Addr] = id
			}
		}
	}
	id, ok = s.liveByAddr[addr]
	return id, ok
}

func (s *Set) store(t Target) {
	old := s.Targets[t.ID]
	if old != nil && old.State == Gone {
		s.GoneIDs = slices.DeleteFunc(s.GoneIDs, func(id string) bool { return id == t.ID })
	}
	if old != nil && s.liveByAddr[old.Addr] == t.ID {
		delete(s.liveByAddr, old.Addr)
	}
	s.Targets[t.ID] = &t
	if t.State != Gone {
		if s.liveByAddr != nil {
			s.liveByAddr[t.Addr] = t.ID
		}
		return
	}
	s.GoneIDs = append(s.GoneIDs, t.ID)
	if len(s.GoneIDs) > maxGoneKept {
		delete(s.Targets, s.GoneIDs[0])
		s.GoneIDs = s.GoneIDs[1:]
	}
}

// Live returns the targets that are not gone, sorted by ID.
func (s *Set) Live() []Target {
	var list []Target
	for _, t := range s.Targets {
		if t.State != Gone {
			list = append(list, *t)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
