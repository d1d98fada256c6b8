package kqselection

import "time"

// Sample is the load that a target reported at one moment.
type Sample struct {
	Running  int       // requests in its slots
	Waiting  int       // requests in its queue
	Slots    int       // requests that it works on at once
	Slowdown float64   // current service time as a multiple of the usual one
	At       time.Time // arrival of the report on this host; zero if there was none
	Sent     int       // requests sent there from this host since the report
}

const (
	// saturationThreshold is the share of busy slots above which some targets get slower.
	// Using a target below it instead costs nothing.
	saturationThreshold = 0.8

	// slowdownDecay is the age at which a reported slowdown has no more effect: the
	// speed of shared machines changes several times a second.
	slowdownDecay = 150 * time.Millisecond

	// defaultSlowdown is assumed for a target whose slowdown is not known: the mean over
	// machines of which some are several times slower.
	defaultSlowdown = 2.0
)

// ExpectedTime returns how long a request sent now would take on the target, in units of
// its service time on an idle target; inFlight counts the requests in flight there from
// this host, and fullSlowdown is the slowdown of a nearly full target.
func (s Sample) ExpectedTime(now time.Time, slots, inFlight int, fullSlowdown float64) float64 {
	busy, queued, slow := inFlight, 0, defaultSlowdown
	if !s.At.IsZero() {
		age := min(1, float64(now.Sub(s.At))/float64(slowdownDecay))
		slow = s.Slowdown + (defaultSlowdown-s.Slowdown)*age
		if age < 1 {
			busy, queued = max(inFlight, s.Running+s.Sent), s.Waiting
		}
		slots = max(s.Slots, 1)
	}
	slots = max(slots, 1)
	if busy > slots {
		queued += busy - slots
		busy = slots
	}
	if float64(min(busy+1, slots)) > saturationThreshold*float64(slots) {
		slow *= fullSlowdown
	}
	if busy < slots {
		return slow
	}
	// A slot becomes free every service time divided by the number of slots.
	return slow + slow*float64(queued+1)/float64(slots)
}
