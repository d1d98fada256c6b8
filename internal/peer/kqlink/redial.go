package kqlink

import "time"

const (
	minRedial = 100 * time.Millisecond // before the first new try to reach a peer
	maxRedial = time.Second            // before a later one, doubled until then

	// loneRedial is the pause while this host has no link at all: where all hosts
	// come back together, a doubled pause would outlast the others' start by
	// more than an election.
	loneRedial = 50 * time.Millisecond
	loneDial   = 120 * time.Millisecond // for one try meanwhile: some round trips between regions
	loneMost   = 10 * time.Second       // after which being alone no longer is a start
)

// dialTimeout bounds one try to reach a peer: a first packet that is lost is sent
// again only after a second.
const dialTimeout = 500 * time.Millisecond

// longEvery is how many tries of a host that has just started hold one that
// lasts for dialTimeout: some peers may be far away.
const longEvery = 4

// isStart reports whether a host alone for so long is one that has just started.
func isStart(alone time.Duration) bool { return alone >= 0 && alone < loneMost }

// redial is the pauses between the tries to reach one peer.
type redial struct {
	pause time.Duration
	tries int
}

// limit returns the time for the next try. A peer that is still without power
// answers nothing, and may be there a moment later.
func (r *redial) limit(alone time.Duration) time.Duration {
	r.tries++
	if isStart(alone) && r.tries%longEvery != 0 {
		return loneDial
	}
	return dialTimeout
}

// reached notes that the peer was there, or that the last try was slow enough.
func (r *redial) reached() { r.pause = 0 }

// next returns the time until the next try, to be spread over half of it and
// once more; alone is for how long this host has had no link, negative if it
// has one or others dial it.
func (r *redial) next(alone time.Duration) time.Duration {
	if isStart(alone) {
		return loneRedial
	}
	r.pause = min(max(2*r.pause, minRedial), maxRedial)
	return r.pause
}
