package kqproxy

import (
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqtargets"
)

// causeEvacuated says why a request is refused while no target of its service may get it
// because failure domains are evacuated.
const causeEvacuated = "all targets are evacuated"

// evacuatedRetryAfter is the least time for a caller refused for that: an operator's next
// order takes seconds, and another host refuses as well.
const evacuatedRetryAfter = time.Second

// evacuation is what this host knows of a failure domain that was evacuated at least once.
type evacuation struct {
	on       bool
	revision uint64
	end      time.Time // when this host learnt that it had ended
}

// recentEnd is how long after the end of an evacuation a host that starts still takes the
// targets of the failure domain for cold: longer than targets stay cold, plus the difference
// between the clocks of two hosts.
const recentEnd = 30 * time.Second

// applyEvacuations records and logs which failure domains are evacuated, and returns those
// whose evacuation has just ended; e.mu must be held.
func (e *Engine) applyEvacuations(list []kqcontract.Evacuation, targets []kqtargets.Target, now time.Time) (ended []string) {
	known, starting := e.evacuations, e.routing.Load() == nil
	e.evacuations = make(map[string]evacuation, len(list))
	for _, c := range list {
		if old := known[c.Domain]; old.revision == c.Revision {
			e.evacuations[c.Domain] = old
			continue
		}
		next := evacuation{on: c.On, revision: c.Revision}
		switch {
		case c.On:
		case starting && c.Time.Before(now):
			next.end = c.Time // before this host started
		default:
			next.end = now
		}
		e.evacuations[c.Domain] = next
		if !c.On && now.Sub(next.end) < recentEnd {
			ended = append(ended, c.Domain)
		}
		if !c.On && starting {
			continue
		}
		n, inFlight := 0, 0
		for _, t := range targets {
			if k := e.knownTargets[t.ID]; t.Domain == c.Domain {
				n++
				if k != nil {
					inFlight += k.InFlight
				}
			}
		}
		text := "routes: evacuation ended"
		if c.On {
			text = "routes: evacuation in force"
		}
		e.cfg.Log.Info().Str("domain", c.Domain).Uint64("revision", c.Revision).Int("targets", n).Int("inflight", inFlight).Msg(text)
	}
	return ended
}

// recordEvacuation records on the target whether its failure domain is evacuated; e.mu must
// be held.
func (e *Engine) recordEvacuation(t *kqselection.Target) {
	v := e.evacuations[t.Domain]
	t.Evacuated, t.EvacuationEnd = v.on, v.end
}

// allBarred returns why requests that may be sent only to the targets of the list are refused
// at once, and until when if that is known, or an empty cause if they are not.
func (e *Engine) allBarred(list []*kqselection.Target, now time.Time) (cause string, until time.Time) {
	if until = e.quietEnd(list, now); !until.IsZero() {
		return causeQuiet, until
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if kqselection.AllEvacuated(list, now) {
		return causeEvacuated, now.Add(evacuatedRetryAfter)
	}
	return "", until
}

// barredCounters are the names of the counters of sends given up for each reason.
var barredCounters = map[kqselection.Barred]string{
	kqselection.Draining: "draining", kqselection.Leaving: "leaving", kqselection.Quiet: "quiet", kqselection.Evacuated: "evacuated",
	kqselection.Cold: "cold", wrongRegion: "region",
}
