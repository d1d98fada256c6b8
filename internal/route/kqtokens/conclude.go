package kqtokens

import (
	"hash/fnv"
	"slices"
	"time"
)

// conclude decides the waiting requests without a token.
func (h *Host) conclude(s *ownerState, now time.Time) {
	turn, refused := s.turn(now)
	if s.granting && !refused { // its tokens came too late to be used, or for earlier requests
		s.granting, s.order = false, h.order()
		h.next(s, now)
		return
	}
	for _, id := range s.waiting {
		switch {
		case refused:
			h.out.Decisions = append(h.out.Decisions, Decision{ID: id, Outcome: Refused, RetryAfter: h.spread(s, turn.Sub(now))})
		case h.takeSpare(s, now):
			h.out.Decisions = append(h.out.Decisions, Decision{ID: id, Outcome: Granted, Token: Token{Sent: now}})
		default:
			h.out.Decisions = append(h.out.Decisions, Decision{ID: id, Outcome: Unanswered, RetryAfter: h.unansweredRetry()})
		}
	}
	s.waiting = nil
}

// turn returns when the first voter that refused may have a token.
func (s *ownerState) turn(now time.Time) (first time.Time, ok bool) {
	for _, t := range s.refused {
		if t.After(now) && (!ok || t.Before(first)) {
			first, ok = t, true
		}
	}
	return first, ok
}

// spread returns when a refused caller should return. Callers that are refused without a
// message return one after another, at this host's part of the owner's rate.
func (h *Host) spread(s *ownerState, turn time.Duration) time.Duration {
	size := float64(max(h.cfg.Fleet().Size, 1))
	width := min(float64(s.locally)*size/s.rate, maxTurn.Seconds())
	s.locally++
	return turn + time.Duration(h.cfg.Rand.Float64()*width*float64(time.Second))
}

// unansweredRetry is short, as another host may reach a voter.
func (h *Host) unansweredRetry() time.Duration {
	const shortest, longest = 20 * time.Millisecond, 200 * time.Millisecond
	return shortest + time.Duration(h.cfg.Rand.Float64()*float64(longest-shortest))
}

// takeSpare takes one of the requests that this host may send in a window without a token. The
// spare requests of an owner are dealt to the hosts by their rank, from a position that differs
// between owners, so that the parts are whole numbers and add up to no more than all.
func (h *Host) takeSpare(s *ownerState, now time.Time) bool {
	f := h.cfg.Fleet()
	if f.Rank < 0 || f.Rank >= f.Size {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.name)) // never fails
	position, all := (f.Rank+int(hash.Sum32()))%f.Size, h.cfg.spare(s.burst, len(h.cfg.Voters()))
	part := (position+1)*all/f.Size - position*all/f.Size
	s.spares = slices.DeleteFunc(s.spares, func(t time.Time) bool { return now.Sub(t) > h.cfg.Window+h.cfg.Life() })
	if len(s.spares) >= part {
		return false
	}
	s.spares = append(s.spares, now)
	return true
}
