package kqselection

import (
	"math"
	"time"
)

const (
	pressureDecay = 2 * time.Second  // in which the count of probed targets falls by a factor of e: a few requests of one host
	shareDecay    = 10 * time.Second // the same for arrivals and starts: a host sees a class once in a few seconds

	// pressureThreshold is the share of recently probed targets without headroom above
	// which less urgent requests leave room. Where targets share machines that are slow
	// for 0.3 of the time, a third have none under normal load.
	pressureThreshold = 0.6

	// minProbed is the decayed number of probed targets below which there is no pressure:
	// those of one request.
	minProbed = 3.0

	// minArrivals is the decayed number of arrivals of more urgent requests from which room
	// is left for them: a single request counts for 16 s.
	minArrivals = 0.2

	// reservedRoom is the number of targets with headroom among those just probed that a
	// less urgent request leaves to others.
	reservedRoom = 1

	// minClassShare is the share of a class's requests that start, relative to that of all,
	// below which its requests leave no room. A quarter is required; the margin is for the
	// few requests that one host sees.
	minClassShare = 0.5

	// minClassArrivals is the decayed number of arrivals below which a class counts as
	// served like the others.
	minClassArrivals = 2.0

	// minStartRate is the lower bound, per second, of the rate at which a class that yields
	// is assumed to start: few starts may mean few requests.
	minStartRate = 1.0

	// reservedProbes is the share of the probe budget that is left to urgent requests.
	// Without it, waiting requests used up the budget and urgent ones found no target. It is
	// below the level at the start of a host, so that all may probe on the return from an
	// outage.
	reservedProbes = 0.3

	// maxReturnShare is the share of the time that a refused caller has left after which it
	// comes back at the latest, however long it would wait.
	maxReturnShare = 0.5
)

// Admission decides for the requests of one service, where they differ in priority, which
// of them leave room to more urgent ones. The pressure of the service comes from the
// targets that this host probes; all hosts probe the same ones, so they decide alike.
type Admission struct {
	Active bool // requests of the service may differ in priority

	probed, full decayedCount        // targets, and those of them without headroom
	classes      map[int]*classCount // by priority
}

// classCount counts the requests of one priority.
type classCount struct{ arrived, started decayedCount }

// decayedCount is a count that falls by a factor of e in a period.
type decayedCount struct {
	n  float64
	at time.Time
}

func (d *decayedCount) value(now time.Time, period time.Duration) float64 {
	return d.n * math.Exp(-float64(now.Sub(d.at))/float64(period))
}

func (d *decayedCount) add(n float64, now time.Time, period time.Duration) {
	d.n, d.at = d.value(now, period)+n, now
}

// RecordProbed counts targets that have just been probed, and those of them without
// headroom.
func (a *Admission) RecordProbed(probed, full int, now time.Time) {
	a.probed.add(float64(probed), now, pressureDecay)
	a.full.add(float64(full), now, pressureDecay)
}

// Pressure returns the share of recently probed targets that had no headroom, 0 to 1.
func (a *Admission) Pressure(now time.Time) float64 {
	probed := a.probed.value(now, pressureDecay)
	if probed < minProbed {
		return 0
	}
	return a.full.value(now, pressureDecay) / probed
}

// RecordArrival counts a request that can be answered in time: for others no room is left.
func (a *Admission) RecordArrival(priority int, now time.Time) {
	if a.Active {
		a.class(priority).arrived.add(1, now, shareDecay)
	}
}

// RecordStart counts a request that is sent to a target.
func (a *Admission) RecordStart(priority int, now time.Time) {
	if a.Active {
		a.class(priority).started.add(1, now, shareDecay)
	}
}

func (a *Admission) class(priority int) *classCount {
	if a.classes == nil {
		a.classes = map[int]*classCount{}
	}
	c := a.classes[priority]
	if c == nil {
		c = &classCount{}
		a.classes[priority] = c
	}
	return c
}

// Yields reports whether a request of the priority leaves room to more urgent ones: the
// service is under pressure, more urgent requests came lately, and its class is not served
// much less than all.
func (a *Admission) Yields(priority int, now time.Time) bool {
	if !a.Active || a.Pressure(now) < pressureThreshold {
		return false
	}
	urgent, arrived, started := 0.0, 0.0, 0.0
	for p, c := range a.classes {
		n := c.arrived.value(now, shareDecay)
		arrived += n
		started += c.started.value(now, shareDecay)
		if p < priority {
			urgent += n
		}
	}
	if urgent < minArrivals {
		return false
	}
	own := a.class(priority).arrived.value(now, shareDecay)
	return own < minClassArrivals || a.class(priority).started.value(now, shareDecay)/own >= minClassShare*started/arrived
}

// MayStart reports whether a request of the priority may start when this many of the
// targets just probed have headroom.
func (a *Admission) MayStart(priority, room int, now time.Time) bool {
	return room > reservedRoom || room > 0 && !a.Yields(priority, now)
}

// startRate returns at which rate, per second, requests of the priority started lately.
func (a *Admission) startRate(priority int, now time.Time) float64 {
	return max(a.class(priority).started.value(now, shareDecay)/shareDecay.Seconds(), minStartRate)
}
