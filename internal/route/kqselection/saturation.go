package kqselection

const (
	// initialSaturationSlowdown is the slowdown of nearly full targets that is assumed
	// before any answer: just above 1/saturationThreshold, where filling the last slots
	// begins to lower the throughput.
	initialSaturationSlowdown = 1.5
	initialSaturationAnswers  = 3    // weight of that assumption, in answers
	minSaturationWeight       = 0.02 // lower bound of the weight of the newest answer

	// maxSaturationSlowdown caps the slowdown that one answer can report: an answer may
	// be late for reasons that have nothing to do with the load at its start.
	maxSaturationSlowdown = 3.0

	exploreEvery        = 2   // one in this many requests without headroom starts on a nearly full target at first
	exploreEveryLearned = 128 // and one in this many later on, because targets may change
	learnedAnswers      = 8   // number of answers above which exploreEveryLearned applies
)

// Saturation learns whether the targets of a service get slower when nearly full. Some
// slow down all the requests that they run, so that filling the last slots lowers their
// throughput; for the others an empty slot is wasted capacity.
type Saturation struct {
	slowdown   float64 // smoothed; 1 is the speed of a target with free slots
	answers    float64 // recorded, including the initial weight
	noHeadroom int     // requests that found no headroom
}

// Slowdown returns how many times longer a request takes on a nearly full target.
func (s *Saturation) Slowdown() float64 {
	if s == nil || s.answers == 0 {
		return initialSaturationSlowdown
	}
	return s.slowdown
}

// UsableShare returns the share of a target's slots to fill: 1, unless a full target has
// a lower throughput than one that is filled up to saturationThreshold.
func (s *Saturation) UsableShare() float64 {
	if s.Slowdown() < 1/saturationThreshold {
		return 1
	}
	return saturationThreshold
}

// UsableSlots returns how many of a target's slots to fill, at least 1. Of two slots one
// would be left, half of the throughput, so that both are filled unless the second one
// doubles the time of a request.
func (s *Saturation) UsableSlots(slots int) int {
	n := max(1, int(s.UsableShare()*float64(slots)))
	if slots == 2 && s.Slowdown() < 2 {
		return slots
	}
	return n
}

// Record adds the time that a request took on a nearly full target, as a multiple of
// its expected time on a target with free slots.
func (s *Saturation) Record(factor float64) {
	factor = min(factor, maxSaturationSlowdown)
	if s.answers == 0 {
		s.slowdown, s.answers = initialSaturationSlowdown, initialSaturationAnswers
	}
	s.answers++
	s.slowdown += max(minSaturationWeight, 1/s.answers) * (factor - s.slowdown)
}

// Explore counts a request that found no headroom and reports whether to start it on a
// nearly full target nevertheless, to learn the slowdown.
func (s *Saturation) Explore() bool {
	s.noHeadroom++
	every := exploreEvery
	if s.answers > learnedAnswers {
		every = exploreEveryLearned
	}
	return s.noHeadroom%every == 0
}
