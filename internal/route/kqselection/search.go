package kqselection

import (
	"slices"
	"time"
)

// maxBlindSearch is the time of searching without a usable load report after which the search
// counts as blind: several rounds of probes.
const maxBlindSearch = 8 * QueueProbeInterval

// Search tells a service without room from one whose load reports do not come in time. The
// zero value has had no report.
type Search struct {
	informed bool          // a choice was made by a load report
	blind    time.Duration // time spent searching since then
	at       time.Time     // end of the last round
}

// Begin starts to search for a request while no other one waits. What targets reported before
// a time without requests says nothing about them now.
func (s *Search) Begin(now time.Time) {
	if now.Sub(s.at) > maxBlindSearch {
		*s = Search{at: now}
	}
}

// Record ends a round of probes: now is when a target was chosen from the list, or none, and
// limit the longest time that a round takes, with the pause before it. Only reports that are
// young enough at the choice count, however timely they arrived. What the round took beyond
// its limit was no search: this process did not run.
func (s *Search) Record(list []*Target, now time.Time, limit time.Duration) {
	if slices.ContainsFunc(list, func(t *Target) bool { return t.Informed(now) }) {
		*s = Search{informed: true, at: now}
		return
	}
	s.blind += max(0, min(now.Sub(s.at), limit)) // rounds overlap
	s.at = now
}

// Blind reports whether no load report was there to choose by for several rounds of probes.
func (s *Search) Blind() bool { return !s.informed || s.blind > maxBlindSearch }
