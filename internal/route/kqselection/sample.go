package kqselection

import "time"

// Sample is what a target said of its load at one moment.
type Sample struct {
	Running  int       // requests in its slots
	Waiting  int       // requests in its queue
	Slots    int       // requests that it works on at once
	Slowdown float64   // how long work takes there now, 1 as usual
	At       time.Time // when it arrived here; zero: never
	Sent     int       // own requests sent there since
}

const (
	// fullShare is the share of busy slots above which targets get slower; some
	// do, and a free target elsewhere costs nothing.
	saturationThreshold = 0.8

	// slowLife is how long a target stays as slow as it says: machines that are
	// shared change several times a second.
	slowdownDecay = 150 * time.Millisecond

	// usualSlow is what a target whose slowness is not known is taken for: the
	// mean over machines of which some are several times slower.
	defaultSlowdown = 2.0
)

// Expected returns how long a request sent now would take there, in units of
// its work on an idle target; own is this host's requests in progress there, and
// full how many times longer it takes on a nearly full one.
func (s Sample) ExpectedTime(now time.Time, slots, own int, full float64) float64 {
	busy, queued, slow := own, 0, defaultSlowdown
	if !s.At.IsZero() {
		age := min(1, float64(now.Sub(s.At))/float64(slowdownDecay))
		slow = s.Slowdown + (defaultSlowdown-s.Slowdown)*age
		if age < 1 {
			busy, queued = max(own, s.Running+s.Sent), s.Waiting
		}
		slots = max(s.Slots, 1)
	}
	slots = max(slots, 1)
	if busy > slots {
		queued += busy - slots
		busy = slots
	}
	if float64(min(busy+1, slots)) > saturationThreshold*float64(slots) {
		slow *= full
	}
	if busy < slots {
		return slow
	}
	// One slot gets free each slot-th part of a request's time.
	return slow + slow*float64(queued+1)/float64(slots)
}
