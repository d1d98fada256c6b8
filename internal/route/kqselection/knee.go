package kqselection

const (
	// kneeSlow is how many times slower a nearly full target is taken for before
	// the first answers tell: about where filling it begins to lose.
	initialSaturationSlowdown = 1.5
	initialSaturationAnswers  = 3    // answers that this guess counts for
	minSaturationWeight       = 0.02 // of the newest answer, once there are many

	// kneeMost is how many times slower one answer may say: an answer may be late
	// for many reasons that have nothing to do with the load at its start.
	maxSaturationSlowdown = 3.0

	exploreEvery        = 2   // of so many times without room, one nearly full target is tried while little is known
	exploreEveryLearned = 128 // and later on, as targets may have changed
	learnedAnswers      = 8   // answers after which enough is known
)

// Knee learns whether the targets of a service get slower when nearly full. Some
// do for all that they run, so that the last slots cost more than they give;
// for the others an empty slot is capacity wasted.
type Saturation struct {
	slowdown   float64 // how many times slower, smoothed
	answers    float64 // that told so
	noHeadroom int     // times without room
}

// Slow returns how many times longer a request takes on a nearly full target.
func (k *Saturation) Slowdown() float64 {
	if k == nil || k.answers == 0 {
		return initialSaturationSlowdown
	}
	return k.slowdown
}

// Share returns the share of a target's slots that is worth filling: all of
// them, unless what a full target does in a time is less than what one does that
// is filled up to fullShare.
func (k *Saturation) UsableShare() float64 {
	if k.Slowdown() < 1/saturationThreshold {
		return 1
	}
	return saturationThreshold
}

// Took notes how many times longer than on a free target a request took that
// was started on a nearly full one.
func (k *Saturation) Record(times float64) {
	times = min(times, maxSaturationSlowdown)
	if k.answers == 0 {
		k.slowdown, k.answers = initialSaturationSlowdown, initialSaturationAnswers
	}
	k.answers++
	k.slowdown += max(minSaturationWeight, 1/k.answers) * (times - k.slowdown)
}

// Try reports whether a request that finds no room should start on a nearly
// full target all the same, to learn what that costs.
func (k *Saturation) Explore() bool {
	k.noHeadroom++
	every := exploreEvery
	if k.answers > learnedAnswers {
		every = exploreEveryLearned
	}
	return k.noHeadroom%every == 0
}
