package kqdispatch

import (
	"math"
	"time"

	kq "kumquatglade"
)

// service is the targets and owners of one service on this host.
type service struct {
	name    string
	policy  kq.Policy
	targets []*target
	grants  []*grant
	virtual float64 // virtual time of the fair order between owners
	typical float64 // smoothed latency of all targets, seconds
	tail    float64 // estimate of the 95th percentile of latency, seconds
	scratch []*target
}

const (
	tailShare = 0.95
	tailStep  = 0.05
)

// sample follows the typical latency and its 95th percentile.
func (s *service) sample(latency float64) {
	if s.typical == 0 {
		s.typical, s.tail = latency, 2*latency
	}
	s.typical += 0.05 * (latency - s.typical)
	if latency > s.tail {
		s.tail *= 1 + tailStep*tailShare
	} else {
		s.tail *= 1 - tailStep*(1-tailShare)
	}
	s.tail = math.Max(s.tail, s.typical)
}

// next returns the waiting call whose owner is due by share, nil if none may go.
func (s *service) next(now time.Time) *call {
	var best *call
	for _, g := range s.grants {
		if len(g.waiting) == 0 {
			continue
		}
		c := g.waiting[0]
		if g.active >= g.room(c.Depth, now) {
			continue
		}
		if best == nil || c.tag < best.tag {
			best = c
		}
	}
	return best
}

// mark gives a call its place in the fair order: owners advance by one over
// their share, so that a burst of one owner stands behind the others' calls.
func (s *service) mark(c *call) {
	g := c.grant
	c.tag = math.Max(s.virtual, g.tag)
	g.tag = c.tag + 1/g.terms.Share
}

// open reports whether any target accepts new calls.
func (s *service) open(now time.Time) bool {
	for _, t := range s.targets {
		if t.takes(now) {
			return true
		}
	}
	return false
}

// wait estimates how long a call at this place of the queue would wait.
func (s *service) wait(ahead int) time.Duration {
	slots := 0
	for _, t := range s.targets {
		slots += t.rec.Slots
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) * s.typical / float64(slots) * float64(time.Second))
}

func (g *grant) drop(c *call) {
	for i, w := range g.waiting {
		if w == c {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}
