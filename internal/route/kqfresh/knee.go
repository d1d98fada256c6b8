package kqfresh

const (
	// kneeSlow is how many times slower a nearly full target is taken for before
	// the first answers tell: about where filling it begins to lose.
	kneeSlow   = 1.5
	kneeSure   = 3    // answers that this guess counts for
	kneeWeight = 0.02 // of the newest answer, once there are many

	// kneeMost is how many times slower one answer may say: an answer may be late
	// for many reasons that have nothing to do with the load at its start.
	kneeMost = 3.0

	tryUnsure = 2   // of so many times without room, one nearly full target is tried while little is known
	trySure   = 128 // and later on, as targets may have changed
	tryKnown  = 8   // answers after which enough is known
)

// Knee learns whether the targets of a service get slower when nearly full. Some
// do for all that they run, so that the last slots cost more than they give;
// for the others an empty slot is capacity wasted.
type Knee struct {
	slow    float64 // how many times slower, smoothed
	answers float64 // that told so
	denied  int     // times without room
}

// Slow returns how many times longer a request takes on a nearly full target.
func (k *Knee) Slow() float64 {
	if k == nil || k.answers == 0 {
		return kneeSlow
	}
	return k.slow
}

// Share returns the share of a target's slots that is worth filling: all of
// them, unless what a full target does in a time is less than what one does that
// is filled up to fullShare.
func (k *Knee) Share() float64 {
	if k.Slow() < 1/fullShare {
		return 1
	}
	return fullShare
}

// Took notes how many times longer than on a free target a request took that
// was started on a nearly full one.
func (k *Knee) Took(times float64) {
	times = min(times, kneeMost)
	if k.answers == 0 {
		k.slow, k.answers = kneeSlow, kneeSure
	}
	k.answers++
	k.slow += max(kneeWeight, 1/k.answers) * (times - k.slow)
}

// Try reports whether a request that finds no room should start on a nearly
// full target all the same, to learn what that costs.
func (k *Knee) Try() bool {
	k.denied++
	every := tryUnsure
	if k.answers > tryKnown {
		every = trySure
	}
	return k.denied%every == 0
}
