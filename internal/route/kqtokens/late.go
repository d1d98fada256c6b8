package kqtokens

import (
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TakeLate asks for a token for a request whose answer will be late in any case, as its caller
// was refused before. It gets none while its owner is beyond its limit: callers that can still be
// served in time go first then, since as many are refused either way.
func (h *Host) TakeLate(o *kqroutes.Owner, id uint64, now time.Time) Effects {
	s := h.owner(o, now)
	h.serve(s, now)
	if len(s.held) > 0 {
		h.out.Decisions = append(h.out.Decisions, Decision{ID: id, Outcome: Granted, Token: s.held[0]})
		s.held = s.held[1:]
		return h.take()
	}
	if _, refused := s.turn(now); refused {
		h.refuseLate(id)
		return h.take()
	}
	for _, v := range h.order() {
		if h.absent[v].After(now) || h.slow[v].After(now) {
			continue
		}
		h.lastID++
		a := &ask{voter: v, sent: now, wants: []Want{{Owner: s.name, Late: 1}}, spare: id, late: true}
		s.open++
		h.asks[h.lastID] = a
		h.out.Asks = append(h.out.Asks, Ask{ID: h.lastID, Voter: v, Wants: a.wants})
		return h.take()
	}
	return h.Take(o, id, now)
}

// refuseLate refuses a request of TakeLate. Its caller is asked to return as late as any.
func (h *Host) refuseLate(id uint64) {
	h.out.Decisions = append(h.out.Decisions, Decision{ID: id, Outcome: Refused, RetryAfter: maxTurn})
}

// answeredLate handles the answer to a message of TakeLate. Without one, the request is treated
// as any other.
func (h *Host) answeredLate(a *ask, grants []Grant, now time.Time) {
	s := h.owners[a.wants[0].Owner]
	s.open--
	switch {
	case len(grants) == 0 || grants[0].Unknown:
		s.waiting = append(s.waiting, a.spare)
		if len(s.waiting) == 1 {
			s.order = h.order()
			h.next(s, now)
		}
		return
	case grants[0].Count == 0:
		h.refuseLate(a.spare)
	default:
		s.learn(a, a.wants[0], grants[0], now)
		s.waiting = append(s.waiting, a.spare)
	}
	h.serve(s, now)
	if len(s.waiting) > 0 && s.asked == 0 { // the token came too late, or another request took it
		s.order = h.order()
		h.next(s, now)
	}
}
