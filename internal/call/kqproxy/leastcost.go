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

// activateAdmission makes services leave room to urgent requests if the document has owners,
// whose priorities may differ on any route. Documents without owners are served in the order of
// the queue alone: with routes of different priorities on a service, leaving room cost callers
// more than it gave them (0.820 to 0.653 of worth on one day of a deployment without owners).
// e.mu must be held.
func (e *Engine) activateAdmission(doc *kqroutes.Document) {
	for _, s := range doc.Services {
		e.chooser(s.Name).Admission.Active = len(doc.Owners) > 0
	}
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
