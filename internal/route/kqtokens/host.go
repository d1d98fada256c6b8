package kqtokens

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

const (
	// slowAfter is how long a voter's answer may take before the next voter is asked as well.
	// An answer takes 1 to 2 ms, and tens of milliseconds behind bodies on a link of 2 Mbit/s.
	// After 15 ms, busy hosts asked all voters for each request, and most of the tokens expired.
	slowAfter = 80 * time.Millisecond

	// AnswerTimeout is how long a voter's answer is waited for: the body of one upload
	// occupies a link of 2 Mbit/s for 240 ms and more. With 250 ms, a twentieth of all requests
	// on a calm day were refused because no voter seemed to answer.
	AnswerTimeout = time.Second

	slowTime   = time.Second            // for which a voter that was slow is asked last
	absentTime = 500 * time.Millisecond // for which a voter that did not answer is not asked
	demandTime = 2 * time.Second        // over which an owner's requests on this host are averaged
	maxMore    = 4                      // tokens asked for beyond the waiting requests

	// moreRounding is added to the requests expected within Life before rounding down. In the
	// model 0.7 gives 0.96 messages for each request, and 0.5 gives 0.99.
	moreRounding = 0.7

	sweepTime = 5 * time.Second // between two searches for owners without a state
)

// Fleet is this host's place among the entry hosts.
type Fleet struct {
	Rank int // position in the list of hosts that all share, negative if not listed
	Size int
}

// HostConfig constructs a Host.
type HostConfig struct {
	Params
	Rand   *rand.Rand
	Voters func() []string // control hosts to ask
	Fleet  func() Fleet
}

// Host is the state of an entry host: the tokens that it holds, the refusals that it remembers
// and the requests that wait for an answer. It is a reducer, and not safe for concurrent use.
type Host struct {
	cfg    HostConfig
	owners map[string]*ownerState
	slow   map[string]time.Time // until when a voter is asked last
	absent map[string]time.Time // until when a voter is not asked
	asks   map[uint64]*ask
	lastID uint64
	queued []*ownerState // whose next voter has not been asked yet
	swept  time.Time
	out    Effects
}

// ownerState is what the host knows about one owner's limit.
type ownerState struct {
	name     string
	rate     float64
	burst    float64
	held     []Token              // oldest first
	refused  map[string]time.Time // by voter: the turn that it gave
	locally  int                  // refusals since the last answer, without a message
	waiting  []uint64             // requests without a decision, oldest first
	order    []string             // voters still to be asked for them, first one first
	asked    uint64               // ask whose answer comes before the next voter, 0: none
	open     int                  // asks under way
	granting bool                 // a voter granted all that it was asked for since the voters were last tried
	spares   []time.Time          // when requests were sent without a token in the last window
	demand   float64              // requests, decaying over demandTime
	demandAt time.Time
}

// ask is a message under way.
type ask struct {
	voter string
	sent  time.Time
	wants []Want
	late  bool   // the next voter has been asked meanwhile
	spare uint64 // request of TakeLate that the message is for, 0: none
}

// Token allows one request to be sent.
type Token struct {
	By   string    // voter that granted it, empty if none answered
	Sent time.Time // when the message was sent that asked for it
}

// Valid reports whether the token may still be used.
func (p Params) Valid(t Token, now time.Time) bool { return age(now, t.Sent) < p.Life() }

// Outcome says how the limit of an owner was applied to a request.
type Outcome int

// Outcomes.
const (
	Granted    Outcome = iota + 1
	Refused            // the limit is used up
	Unanswered         // no voter answers, and the host has used its part of the spare requests
)

// Decision is the answer for one request.
type Decision struct {
	ID         uint64
	Outcome    Outcome
	Token      Token         // if Granted
	RetryAfter time.Duration // if not Granted
}

// Ask is a message to send to a voter.
type Ask struct {
	ID    uint64
	Voter string
	Wants []Want
}

// Effects are what an event leads to.
type Effects struct {
	Decisions []Decision
	Asks      []Ask
}

// NewHost returns a host that holds no tokens.
func NewHost(cfg HostConfig) *Host {
	return &Host{cfg: cfg, owners: map[string]*ownerState{}, slow: map[string]time.Time{}, absent: map[string]time.Time{}, asks: map[uint64]*ask{}}
}

func (h *Host) take() Effects {
	e := h.out
	h.out = Effects{}
	return e
}

// Take asks for a token for the request id of an owner with a limit.
func (h *Host) Take(o *kqroutes.Owner, id uint64, now time.Time) Effects {
	s := h.owner(o, now)
	s.waiting = append(s.waiting, id)
	h.serve(s, now)
	if len(s.waiting) == 1 {
		s.order = h.order()
		h.next(s, now)
	}
	h.flush(now, false)
	return h.take()
}

// owner returns the state of the owner, whose request it counts.
func (h *Host) owner(o *kqroutes.Owner, now time.Time) *ownerState {
	h.sweep(now)
	s := h.owners[o.Name]
	if s == nil {
		s = &ownerState{name: o.Name, refused: map[string]time.Time{}}
		h.owners[o.Name] = s
	}
	if s.rate != o.Rate || s.burst != o.Burst {
		clear(s.refused) // by another limit
	}
	s.rate, s.burst = o.Rate, o.Burst
	s.count(now)
	return s
}

// Cancel forgets a request that waits. A token granted for it is held for others.
func (h *Host) Cancel(o *kqroutes.Owner, id uint64) {
	if s := h.owners[o.Name]; s != nil {
		s.waiting = slices.DeleteFunc(s.waiting, func(w uint64) bool { return w == id })
	}
}

// Return gives back a token whose request was not sent, or was not run.
func (h *Host) Return(o *kqroutes.Owner, t Token, now time.Time) Effects {
	s := h.owners[o.Name]
	if s == nil || t.By == "" || !h.cfg.Valid(t, now) {
		return Effects{}
	}
	s.held = append(s.held, t)
	h.serve(s, now)
	return h.take()
}

// Answered handles a voter's answer. Without one, grants is nil.
func (h *Host) Answered(id uint64, grants []Grant, now time.Time) Effects {
	a := h.asks[id]
	if a == nil {
		return Effects{}
	}
	delete(h.asks, id)
	delete(h.slow, a.voter)
	delete(h.absent, a.voter)
	if grants == nil {
		h.absent[a.voter] = now.Add(absentTime)
	}
	if a.spare != 0 {
		h.answeredLate(a, grants, now)
		h.flush(now, false)
		return h.take()
	}
	for i, w := range a.wants {
		s := h.owners[w.Owner]
		s.open--
		if i < len(grants) {
			s.learn(a, w, grants[i], now)
		}
		h.serve(s, now)
		if s.asked == id {
			s.asked = 0
		}
		if s.asked == 0 {
			h.next(s, now)
		}
	}
	h.flush(now, false)
	return h.take()
}

// Slow says that an answer takes longer than slowAfter, so that the next voter is asked.
func (h *Host) Slow(id uint64, now time.Time) Effects {
	a := h.asks[id]
	if a == nil {
		return Effects{}
	}
	a.late = true
	h.slow[a.voter] = now.Add(slowTime)
	for _, w := range a.wants {
		if s := h.owners[w.Owner]; s.asked == id {
			s.asked = 0
			h.next(s, now)
		}
	}
	h.flush(now, true)
	return h.take()
}

// learn records a voter's answer for one owner.
func (s *ownerState) learn(a *ask, w Want, g Grant, now time.Time) {
	for range min(g.Count, w.Count+w.More+w.Late) {
		s.held = append(s.held, Token{By: a.voter, Sent: a.sent})
	}
	s.granting = s.granting || g.Count > 0 && g.Count >= w.Count
	switch {
	case g.Unknown:
	case g.Count < w.Count:
		s.refused[a.voter], s.locally = now.Add(min(g.Wait, maxTurn)), 0
	default:
		delete(s.refused, a.voter)
	}
}

// serve gives held tokens to waiting requests.
func (h *Host) serve(s *ownerState, now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(t Token) bool { return !h.cfg.Valid(t, now) })
	n := min(len(s.held), len(s.waiting))
	for i := range n {
		h.out.Decisions = append(h.out.Decisions, Decision{ID: s.waiting[i], Outcome: Granted, Token: s.held[i]})
	}
	s.held, s.waiting = slices.Delete(s.held, 0, n), slices.Delete(s.waiting, 0, n)
}

// order returns the voters in the order in which they are asked: at random, so that all shares
// are used evenly.
func (h *Host) order() []string {
	list := slices.Clone(h.cfg.Voters())
	h.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// next has the next voter asked for the requests that wait, or decides them if none is left.
func (h *Host) next(s *ownerState, now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	s.order = slices.DeleteFunc(s.order, func(v string) bool { return s.refused[v].After(now) || h.absent[v].After(now) })
	switch {
	case slices.Contains(h.queued, s):
	case len(s.order) > 0:
		h.queued = append(h.queued, s)
	case s.open == 0:
		h.conclude(s, now)
	}
}

// flush sends the messages that are due. Owners whose first voter is the same share one
// message; unless now is set, they wait for the answer to one that is under way, so that the
// requests of one moment share one message, too.
func (h *Host) flush(now time.Time, atOnce bool) {
	for !atOnce && len(h.queued) > 0 {
		for _, a := range h.asks {
			if !a.late {
				return
			}
		}
		break
	}
	h.queued = slices.DeleteFunc(h.queued, func(s *ownerState) bool { return len(s.waiting) == 0 || len(s.order) == 0 })
	for len(h.queued) > 0 {
		h.send(now)
	}
}

// send sends one message to the first queued owner's next voter.
func (h *Host) send(now time.Time) {
	v := h.pick(h.queued[0].order, now)
	h.lastID++
	a := &ask{voter: v, sent: now}
	rest := h.queued[:0]
	for _, s := range h.queued {
		i := slices.Index(s.order, v)
		if i < 0 {
			rest = append(rest, s)
			continue
		}
		s.order = slices.Delete(s.order, i, i+1)
		s.asked = h.lastID
		s.open++
		a.wants = append(a.wants, Want{Owner: s.name, Count: len(s.waiting), More: s.more(h.cfg.Life(), now), Rate: s.rate, Burst: s.burst})
	}
	h.queued = rest
	h.asks[h.lastID] = a
	h.out.Asks = append(h.out.Asks, Ask{ID: h.lastID, Voter: v, Wants: a.wants})
}

// pick returns the first voter that is not slow, or the first one.
func (h *Host) pick(order []string, now time.Time) string {
	for _, v := range order {
		if !h.slow[v].After(now) {
			return v
		}
	}
	return order[0]
}

// count counts a request.
func (s *ownerState) count(now time.Time) {
	s.decay(now)
	s.demand++
}

func (s *ownerState) decay(now time.Time) {
	s.demand *= math.Exp(-max(now.Sub(s.demandAt), 0).Seconds() / demandTime.Seconds())
	s.demandAt = now
}

// more returns how many further requests are likely within life.
func (s *ownerState) more(life time.Duration, now time.Time) int {
	s.decay(now)
	return min(int(s.demand*life.Seconds()/demandTime.Seconds()+moreRounding), maxMore)
}

// sweep forgets owners about which nothing is known.
func (h *Host) sweep(now time.Time) {
	if now.Sub(h.swept) < sweepTime {
		return
	}
	h.swept = now
	for name, s := range h.owners {
		_, refused := s.turn(now)
		if len(s.waiting)+s.open == 0 && !refused && now.Sub(s.demandAt) > h.cfg.Window+h.cfg.Life() {
			delete(h.owners, name)
		}
	}
}
