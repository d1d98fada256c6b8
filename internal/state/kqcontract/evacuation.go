package kqcontract

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxEvacuations bounds the entries of failure domains, which are kept for good. Hosts
// accept orders only for domains that they know, of which there are a few.
const MaxEvacuations = 1024

// ErrUnknownDomain means that an evacuation names a failure domain that neither the
// settings nor any target has.
var ErrUnknownDomain = errors.New("failure domain is unknown")

// Evacuation is the entry of a failure domain that was evacuated at least once. It stays
// after the end, so that an order that was accepted earlier is refused.
type Evacuation struct {
	Domain   string    `json:"domain"`
	On       bool      `json:"on"`       // its targets get nothing
	Revision uint64    `json:"revision"` // at which On last changed
	Time     time.Time `json:"time"`     // when the leader received that change
}

// EvacuationOrder evacuates a failure domain or ends its evacuation, unless its entry has
// changed since Revision.
type EvacuationOrder struct {
	Domain   string `json:"domain"`
	On       bool   `json:"on"`
	Revision uint64 `json:"revision"` // of the entry when the order was accepted, 0: there was none
}

// EvacuatedDomains returns the names of the domains that are evacuated now.
func EvacuatedDomains(list []Evacuation) []string {
	var names []string
	for _, e := range list {
		if e.On {
			names = append(names, e.Domain)
		}
	}
	return names
}

// Evacuation returns the entry of the domain; it is zero but for the domain if there is none.
func (s *State) Evacuation(domain string) Evacuation {
	if i, ok := s.findEvacuation(domain); ok {
		return s.Evacuations[i]
	}
	return Evacuation{Domain: domain}
}

func (s *State) findEvacuation(domain string) (int, bool) {
	return slices.BinarySearchFunc(s.Evacuations, domain, func(e Evacuation, d string) int { return cmp.Compare(e.Domain, d) })
}

// evacuate changes the entry of a failure domain. An order that changes nothing is
// acknowledged as a repeat.
func (s *State) evacuate(c Command) (Result, *Change) {
	o := c.Evacuate
	if o == nil || o.Domain == "" {
		return Result{Refused: ReasonUnknown}, nil
	}
	i, found := s.findEvacuation(o.Domain)
	old := s.Evacuation(o.Domain)
	switch {
	case old.On == o.On:
		return Result{Accepted: Accepted{Revision: old.Revision, Time: old.Time}, Repeat: true}, nil
	case old.Revision != o.Revision:
		return Result{Refused: ReasonStale}, nil
	case !found && len(s.Evacuations) >= MaxEvacuations:
		return Result{Refused: ReasonFull}, nil
	}
	s.Revision++
	next := slices.Clone(s.Evacuations)
	if !found {
		next = slices.Insert(next, i, Evacuation{})
	}
	next[i] = Evacuation{Domain: o.Domain, On: o.On, Revision: s.Revision, Time: c.Time}
	s.Evacuations = next
	return Result{Accepted: Accepted{Revision: s.Revision, Time: c.Time}}, &Change{Revision: s.Revision, Evacuations: next}
}
