package kqdispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/route/kqpolicy"
	"kumquatglade/internal/state/kqcontract"
)

// harness drives a Dispatch with events and a manual clock.
type harness struct {
	t   *testing.T
	d   *Dispatch
	now time.Time
	id  uint64
}

func newHarness(t *testing.T, targets int) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Unix(1_700_000_000, 0), d: New(Config{
		Policy: func() kq.Policy { return kqpolicy.LeastExpectedTime{} }, Rand: rand.New(rand.NewPCG(1, 1)),
	})}
	h.grant("o", func(*kqcontract.Service, *Share) {})
	for i := range targets {
		h.target(i, kqdirectory.Ready)
	}
	h.now = h.now.Add(time.Second) // the bucket fills
	return h
}

func (h *harness) grant(owner string, change func(*kqcontract.Service, *Share)) {
	s := kqcontract.Service{Name: "s", Rate: 1000, Burst: 1000, Active: 100, Queue: 10, Share: 1, Retries: 100}
	share := Share{Rate: 1000, Burst: 1000, Active: 100, Queue: 10}
	change(&s, &share)
	h.feed(LimitsGranted{Owner: owner, Service: s, Share: share})
}

func (h *harness) target(i int, state kqdirectory.State) {
	h.feed(TargetUpdated{kqdirectory.Record{
		Service: "s", ID: fmt.Sprintf("t%d", i), Addr: "127.0.0.1:1", Domain: string(rune('a' + i%2)),
		Slots: 4, Connections: 100, State: state, Epoch: 1, Seq: 1,
	}})
}

func (h *harness) feed(ev Event) []Effect {
	return h.d.Reduce(h.now, ev)
}

func (h *harness) arrive(owner string, idempotent bool) (uint64, []Effect) {
	h.id++
	return h.id, h.feed(CallArrived{Call{ID: h.id, Owner: owner, Service: "s", Idempotent: idempotent, Deadline: h.now.Add(time.Second), Retries: 3}})
}

// started returns the Start among the effects.
func started(effects []Effect) (Start, bool) {
	for _, e := range effects {
		if s, ok := e.(Start); ok {
			return s, true
		}
	}
	return Start{}, false
}

// run makes one call that is answered after the time, and returns the target's identifier.
func (h *harness) run(owner string, took time.Duration) string {
	h.t.Helper()
	id, effects := h.arrive(owner, true)
	s, ok := started(effects)
	if !ok {
		h.t.Fatalf("no attempt was started: %v", effects)
	}
	h.now = h.now.Add(took)
	h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
	h.feed(AttemptEnded{s.Attempt})
	h.feed(CallClosed{id})
	return s.Target.ID
}

// warm makes calls until every target may use all its slots.
func (h *harness) warm() {
	for range 200 {
		h.run("o", time.Millisecond)
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		setup  func(*harness)
		reason Reason
	}{
		{"no contract", func(h *harness) { h.feed(LimitsRevoked{"o", "s"}) }, ReasonUnknown},
		{"over the rate", func(h *harness) { h.grant("o", func(_ *kqcontract.Service, s *Share) { s.Rate, s.Burst = 0, 0 }) }, ReasonRate},
		{"no call may be in flight", func(h *harness) { h.grant("o", func(_ *kqcontract.Service, s *Share) { s.Active, s.Queue = 0, 0 }) }, ReasonActive},
		{"the target is draining", func(h *harness) { h.target(0, kqdirectory.Draining) }, ReasonTarget},
		{"the target is gone", func(h *harness) { h.target(0, kqdirectory.Gone) }, ReasonTarget},
		{"slots are busy and nothing may wait", func(h *harness) {
			h.grant("o", func(_ *kqcontract.Service, s *Share) { s.Queue = 0 })
			h.arrive("o", true)
			h.arrive("o", true)
		}, ReasonQueue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			c.setup(h)
			id, effects := h.arrive("o", true)
			if len(effects) != 1 || effects[0].Call() != id {
				t.Fatalf("%v", effects)
			}
			if r, ok := effects[0].(Refuse); !ok || r.Reason != c.reason {
				t.Fatalf("%#v", effects[0])
			}
		})
	}
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		outcome    Outcome
		again      bool
	}{
		{"idempotent and broken", true, NoAnswer, true},
		{"idempotent and failed", true, Failed, true},
		{"not idempotent and broken", false, NoAnswer, false},
		{"not idempotent and failed", false, Failed, false},
		{"not idempotent and certainly not run", false, Refused, true},
		{"not idempotent and unsent", false, Unsent, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4)
			_, effects := h.arrive("o", c.idempotent)
			first, _ := started(effects)
			second, again := started(h.feed(AttemptReplied{Attempt: first.Attempt, Outcome: c.outcome}))
			if again != c.again {
				t.Fatalf("retried: %v", again)
			}
			if again && (second.Target.ID == first.Target.ID || second.Target.Domain == first.Target.Domain) {
				t.Fatalf("retried on %s in failure domain %s", second.Target.ID, second.Target.Domain)
			}
		})
	}
}

func TestRetriesStayInTheBudget(t *testing.T) {
	h := newHarness(t, 4)
	h.grant("o", func(s *kqcontract.Service, _ *Share) { s.Retries = 10 })
	first, extra := 0, 0
	for range 200 {
		id, effects := h.arrive("o", true)
		s, ok := started(effects)
		for ok {
			if s.Number == 1 {
				first++
			} else {
				extra++
			}
			effects = h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Failed})
			h.feed(AttemptEnded{s.Attempt})
			s, ok = started(effects)
		}
		h.feed(CallClosed{id})
		h.now = h.now.Add(10 * time.Millisecond)
	}
	if extra > first/10+1 {
		t.Fatalf("%d retries of %d first sends", extra, first)
	}
}

func TestFastFailingTargetIsAvoided(t *testing.T) {
	h := newHarness(t, 4)
	h.warm()
	bad := 0
	for range 400 {
		id, effects := h.arrive("o", true)
		s, ok := started(effects)
		for ok {
			if s.Target.ID != "t0" {
				h.now = h.now.Add(2 * time.Millisecond)
				effects = h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered, Load: Load{1, 4}})
			} else {
				bad++
				effects = h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Refused, Load: Load{0, 4}})
			}
			h.feed(AttemptEnded{s.Attempt})
			s, ok = started(effects)
		}
		h.feed(CallClosed{id})
	}
	if bad > 12 {
		t.Fatalf("a target that refuses everything got %d of 400 calls", bad)
	}
}

func TestEjectionIsPerOwner(t *testing.T) {
	h := newHarness(t, 4)
	h.grant("p", func(*kqcontract.Service, *Share) {})
	h.now = h.now.Add(time.Second)
	for _, target := range h.d.services["s"].targets {
		for range ejectAfterFailures {
			target.recordFailure("p", h.now)
		}
	}
	seen := map[string]bool{}
	for range 100 {
		seen[h.run("o", time.Millisecond)] = true
	}
	if len(seen) != 4 {
		t.Fatalf("owner o reaches %d of 4 targets that fail only for owner p", len(seen))
	}
	if _, effects := h.arrive("p", true); len(effects) == 0 {
		t.Fatal("owner p reaches no target although all targets are ejected for it alike")
	}
}

func TestSlowTargetGetsFewCalls(t *testing.T) {
	h := newHarness(t, 4)
	h.warm()
	slow := 0
	for range 300 {
		id, effects := h.arrive("o", true)
		s, _ := started(effects)
		took := 10 * time.Millisecond
		if s.Target.ID == "t0" {
			took = 100 * time.Millisecond
			slow++
		}
		h.now = h.now.Add(took)
		h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
		h.feed(AttemptEnded{s.Attempt})
		h.feed(CallClosed{id})
	}
	if slow > 15 {
		t.Fatalf("a target ten times slower got %d of 300 calls", slow)
	}
}

func TestColdTargetEarnsItsSlots(t *testing.T) {
	h := newHarness(t, 1)
	inflight := func() int {
		n := 0
		for {
			_, effects := h.arrive("o", true)
			if _, ok := started(effects); !ok {
				return n
			}
			n++
		}
	}
	if n := inflight(); n > 2 {
		t.Fatalf("a cold target got %d calls at once", n)
	}
	h = newHarness(t, 1)
	h.warm()
	if n := inflight(); n < 4 {
		t.Fatalf("a warm target got %d calls at once", n)
	}
}

// TestSharesOfOwners checks that two owners who queue for one busy target get calls in
// proportion to their shares.
func TestSharesOfOwners(t *testing.T) {
	h := newHarness(t, 1)
	h.warm()
	many := func(weight float64) func(*kqcontract.Service, *Share) {
		return func(s *kqcontract.Service, share *Share) { s.Share, share.Queue, share.Active = weight, 1000, 1000 }
	}
	h.grant("o", many(3))
	h.grant("p", many(1))
	h.now = h.now.Add(time.Second)
	owner := map[uint64]string{}
	open := []Start{}
	note := func(effects []Effect) {
		if s, ok := started(effects); ok {
			open = append(open, s)
		}
	}
	for range 200 {
		for _, o := range []string{"o", "p"} {
			id, effects := h.arrive(o, true)
			owner[id] = o
			note(effects)
		}
	}
	count := map[string]int{}
	for range 200 {
		s := open[0]
		open = open[1:]
		h.now = h.now.Add(time.Millisecond)
		h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
		effects := h.feed(AttemptEnded{s.Attempt})
		note(effects)
		count[owner[s.ID]]++
		h.feed(CallClosed{s.ID})
	}
	if ratio := float64(count["o"]) / float64(count["p"]); ratio < 2.5 || ratio > 3.5 {
		t.Fatalf("shares 3 to 1 gave %v", count)
	}
}

// TestNestedCallsDoNotBlockEachOther guards against a deadlock of nested calls: they are
// nested nine deep, under one limit that the calls of the first level could use up alone.
func TestNestedCallsDoNotBlockEachOther(t *testing.T) {
	h := newHarness(t, 40)
	h.warm()
	h.grant("o", func(_ *kqcontract.Service, s *Share) { s.Active, s.Queue = 20, 1000 })
	type chain struct {
		ids      []uint64
		attempts []uint64
	}
	const chains = 30
	byCall, finished := map[uint64]*chain{}, 0
	var due []*chain // chains whose newest call was started, in order
	handle := func(effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				c := byCall[s.ID]
				c.attempts = append(c.attempts, s.Attempt)
				due = append(due, c)
			}
		}
	}
	call := func(c *chain) {
		if len(c.ids) > maxDepth {
			finished++ // the deepest call is answered first, then each one above it
			for i := len(c.attempts) - 1; i >= 0; i-- {
				h.feed(AttemptReplied{Attempt: c.attempts[i], Outcome: Answered})
				handle(h.feed(AttemptEnded{c.attempts[i]}))
				handle(h.feed(CallClosed{c.ids[i]}))
			}
			return
		}
		h.id++
		byCall[h.id] = c
		c.ids = append(c.ids, h.id)
		handle(h.feed(CallArrived{Call{ID: h.id, Owner: "o", Service: "s", Idempotent: true, Deadline: h.now.Add(time.Hour), Depth: len(c.ids) - 1}}))
	}
	h.feed(CallArrived{Call{ID: 1 << 40, Owner: "o", Service: "s", Deadline: h.now.Add(time.Hour), Depth: 1}}) // makes the grant reserve calls for nested ones
	for range chains {
		call(&chain{})
	}
	for range 1000 {
		for len(due) > 0 {
			c := due[0]
			due = due[1:]
			call(c)
		}
		h.now = h.now.Add(TickInterval)
		handle(h.feed(Tick{}))
	}
	if finished != chains {
		t.Fatalf("%d of %d chains finished", finished, chains)
	}
}

func TestClosedCallFreesTheSlot(t *testing.T) {
	h := newHarness(t, 1)
	id, effects := h.arrive("o", true)
	s, _ := started(effects)
	effects = h.feed(CallClosed{id})
	if len(effects) != 1 || effects[0] != (Cancel{ID: id, Attempt: s.Attempt}) {
		t.Fatalf("%v", effects)
	}
	h.feed(AttemptEnded{s.Attempt})
	if n := len(h.d.services["s"].targets[0].inFlight); n != 0 || len(h.d.calls) != 0 || len(h.d.attempts) != 0 {
		t.Fatalf("%d attempts in flight on the target after the call was closed", n)
	}
}
