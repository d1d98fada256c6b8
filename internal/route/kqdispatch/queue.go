package kqdispatch

import (
	"math"
	"time"

	kq "kumquatglade"
)

// service holds the targets and grants of one service on this host.
type service struct {
	name        string
	policy      kq.Policy
	targets     []*target
	grants      []*grant
	virtualTime float64 // of the fair queueing between owners
	meanLatency float64 // smoothed over all targets, seconds
	tailLatency float64 // estimated 95th percentile, seconds
	usableBuf   []*target
}

const (
	tailQuantile = 0.95
	tailStep     = 0.05
)

// recordLatency updates the mean and the 95th percentile, in seconds.
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

// next returns the queued call with the lowest tag, nil if none may start.
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

// assignTag sets the place of a call in the fair queueing. The tags of an owner advance by
// the inverse of its share, so that a burst of one owner queues behind the others' calls.
func (s *service) assignTag(c *call) {
	g := c.grant
	c.startTag = math.Max(s.virtualTime, g.finishTag)
	g.finishTag = c.startTag + 1/g.limits.Share
}

// hasTarget reports whether any target accepts new calls.
func (s *service) hasTarget(now time.Time) bool {
	for _, t := range s.targets {
		if t.acceptsCalls(now) {
			return true
		}
	}
	return false
}

// expectedWait estimates how long a call waits at the position in the queue, 1 for the
// first.
func (s *service) expectedWait(position int) time.Duration {
	slots := 0
	for _, t := range s.targets {
		slots += t.rec.Slots
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(position) * s.meanLatency / float64(slots) * float64(time.Second))
}

func (g *grant) remove(c *call) {
	for i, w := range g.waiting {
		if w == c {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}
