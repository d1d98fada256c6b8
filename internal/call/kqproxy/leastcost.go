package kqproxy

import (
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"

	"github.com/phuslu/log"
)

// causeLeastCost says why a request is refused that left room to more urgent ones.
const causeLeastCost = "room is left to more urgent requests"

// admissionState is what the admission of the service knew when a request got a target or
// was refused.
type admissionState struct {
	active   bool
	yields   bool    // the request left room to more urgent ones
	pressure float64 // share of recently probed targets that had no headroom
}

// admissionState returns the state for a request of the priority; e.mu must be held.
func (ch *chooser) admissionState(priority int, now time.Time) admissionState {
	a := &ch.Admission
	if !a.Active {
		return admissionState{}
	}
	return admissionState{active: true, yields: a.Yields(priority, now), pressure: a.Pressure(now)}
}

// log adds the state to a line.
func (s admissionState) log(l *log.Entry, priority int) {
	if s.active {
		l.Int("class", priority).Float64("pressure", s.pressure).Bool("yields", s.yields)
	}
}

// activateAdmission makes services whose requests may differ in priority leave room to
// urgent ones: those with routes of different priorities, or all if there are owners. e.mu
// must be held.
func (e *Engine) activateAdmission(doc *kqroutes.Document) {
	mixed := mixedPriorities(doc)
	for _, s := range doc.Services {
		e.chooser(s.Name).Admission.Active = len(doc.Owners) > 0 || mixed[s.Name]
	}
}

// mixedPriorities returns the services that have routes of different priorities.
func mixedPriorities(doc *kqroutes.Document) map[string]bool {
	first, mixed := map[string]int{}, map[string]bool{}
	add := func(service string, priority int) {
		if p, ok := first[service]; ok && p != priority {
			mixed[service] = true
		}
		first[service] = priority
	}
	for _, h := range doc.Hosts {
		for i := range h.Routes {
			r := &h.Routes[i]
			if r.Service != "" {
				add(r.Service, r.Priority)
			}
			for _, s := range r.Split {
				add(s.Service, r.Priority)
			}
		}
	}
	return mixed
}

// mayProbeQueued reports whether targets may be probed for the queued requests now: the
// rest of the probe budget is left to urgent ones. e.mu must be held.
func (e *Engine) mayProbeQueued(ch *chooser, now time.Time) bool {
	e.refillProbes(now)
	return ch.MayProbeQueued(e.probeAllowance.Level(), now)
}

// noRoomCause says why a request leaves the queue without a target.
func noRoomCause(s admissionState) string {
	if s.yields {
		return causeLeastCost
	}
	return "no room in time"
}

// assignment returns the target that a queued request was assigned, or the cause if it got
// none.
func assignment(w *kqselection.Waiter, t *kqselection.Target) (*kqselection.Target, string) {
	switch {
	case t != nil:
		return t, ""
	case w.PushedOut:
		return nil, causeLeastCost
	}
	return nil, causeQuiet
}
