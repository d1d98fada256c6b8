package kqdispatch

import (
	"math"
	"time"

	kq "kumquatglade"
)

// service is the targets and owners of one service on this host.
type service struct {
	name        string
	policy      kq.Policy
	targets     []*target
	grants      []*grant
	virtualTime float64 // virtual time of the fair order between owners
	meanLatency float64 // smoothed latency of all targets, seconds
	tailLatency float64 // estimate of the 95th percentile of latency, seconds
	usableBuf   []*target
}

const (
	tailQuantile = 0.95
	tailStep     = 0.05
)

// sample follows the typical latency and its 95th percentile.
func (s *service) recordLatency(latency float64) {
	if s.meanLatency == 0 {
		s.meanLatency, s.tailLatency = latency, 2*latency
	}
	s.meanLatency += 0.05 * (latency - s.meanLatency)
	if latency > s.tailLatency {
		s.tailLatency *= 1 + tailStep*tailQuantile
	} else {
		s.tailLatency *= 1 - tailStep*(1-tailQuantile)
	}
	s.tailLatency = math.Max(s.tailLatency, s.meanLatency)
}

// next returns the waiting call whose owner is due by share, nil if none may go.
func (s *service) next(now time.Time) *call {
	var best *call
	for _, g := range s.grants {
		if len(g.waiting) == 0 {
			continue
		}
		c := g.waiting[0]
		if g.active >= g.activeLimit(c.Depth, now) {
			continue
		}
		if best == nil || c.startTag < best.startTag {
			best = c
		}
	}
	return best
}

// mark gives a call its place in the fair order: owners advance by one over
// their share, so that a burst of one owner stands behind the others' calls.
func (s *service) assignTag(c *call) {
	g := c.grant
	c.startTag = math.Max(s.virtualTime, g.finishTag)
	g.finishTag = c.startTag + 1/g.limits.Share
}

// open reports whether any target accepts new calls.
func (s *service) hasTarget(now time.Time) bool {
	for _, t := range s.targets {
		if t.acceptsCalls(now) {
			return true
		}
	}
	return false
}

// wait estimates how long a call at this place of the queue would wait.
func (s *service) expectedWait(ahead int) time.Duration {
	slots := 0
	for _, t := range s.targets {
		slots += t.rec.Slots
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) * s.meanLatency / float64(slots) * float64(time.Second))
}

func (g *grant) remove(c *call) {
	for i, w := range g.waiting {
		if w == c {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}
