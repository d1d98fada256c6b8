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

// desk drives a Dispatch by hand.
type harness struct {
	t   *testing.T
	d   *Dispatch
	now time.Time
	id  uint64
}

func newHarness(t *testing.T, targets int) *harness {
	t.Helper()
	k := &harness{t: t, now: time.Unix(1_700_000_000, 0), d: New(Config{
		Policy: func() kq.Policy { return kqpolicy.LeastExpectedTime{} }, Rand: rand.New(rand.NewPCG(1, 1)),
	})}
	k.grant("o", func(*kqcontract.Service, *Share) {})
	for i := range targets {
		k.target(i, kqdirectory.Ready)
	}
	k.now = k.now.Add(time.Second) // the bucket fills
	return k
}

func (k *harness) grant(owner string, change func(*kqcontract.Service, *Share)) {
	s := kqcontract.Service{Name: "s", Rate: 1000, Burst: 1000, Active: 100, Queue: 10, Share: 1, Retries: 100}
	share := Share{Rate: 1000, Burst: 1000, Active: 100, Queue: 10}
	change(&s, &share)
	k.feed(LimitsGranted{Owner: owner, Service: s, Share: share})
}

func (k *harness) target(i int, state kqdirectory.State) {
	k.feed(TargetUpdated{kqdirectory.Record{
		Service: "s", ID: fmt.Sprintf("t%d", i), Addr: "127.0.0.1:1", Domain: string(rune('a' + i%2)),
		Slots: 4, Connections: 100, State: state, Epoch: 1, Seq: 1,
	}})
}

func (k *harness) feed(ev Event) []Effect {
	return k.d.Reduce(k.now, ev)
}

func (k *harness) arrive(owner string, idempotent bool) (uint64, []Effect) {
	k.id++
	return k.id, k.feed(CallArrived{Call{ID: k.id, Owner: owner, Service: "s", Idempotent: idempotent, Deadline: k.now.Add(time.Second), Retries: 3}})
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

// run makes one call that is answered after the time, and returns its target.
func (k *harness) run(owner string, took time.Duration) string {
	k.t.Helper()
	id, effects := k.arrive(owner, true)
	s, ok := started(effects)
	if !ok {
		k.t.Fatalf("not sent: %v", effects)
	}
	k.now = k.now.Add(took)
	k.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
	k.feed(AttemptEnded{s.Attempt})
	k.feed(CallClosed{id})
	return s.Target.ID
}

// warm lets every target earn all its slots.
func (k *harness) warm() {
	for range 200 {
		k.run("o", time.Millisecond)
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		setup  func(*harness)
		reason Reason
	}{
		{"no contract", func(k *harness) { k.feed(LimitsRevoked{"o", "s"}) }, ReasonUnknown},
		{"over the rate", func(k *harness) { k.grant("o", func(_ *kqcontract.Service, s *Share) { s.Rate, s.Burst = 0, 0 }) }, ReasonRate},
		{"no call may be in progress", func(k *harness) { k.grant("o", func(_ *kqcontract.Service, s *Share) { s.Active, s.Queue = 0, 0 }) }, ReasonActive},
		{"all targets drain", func(k *harness) { k.target(0, kqdirectory.Draining) }, ReasonTarget},
		{"the target is gone", func(k *harness) { k.target(0, kqdirectory.Gone) }, ReasonTarget},
		{"slots are busy and nothing may wait", func(k *harness) {
			k.grant("o", func(_ *kqcontract.Service, s *Share) { s.Queue = 0 })
			k.arrive("o", true)
			k.arrive("o", true)
		}, ReasonQueue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := newHarness(t, 1)
			c.setup(k)
			id, effects := k.arrive("o", true)
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
			k := newHarness(t, 4)
			_, effects := k.arrive("o", c.idempotent)
			first, _ := started(effects)
			second, again := started(k.feed(AttemptReplied{Attempt: first.Attempt, Outcome: c.outcome}))
			if again != c.again {
				t.Fatalf("sent again: %v", again)
			}
			if again && (second.Target.ID == first.Target.ID || second.Target.Domain == first.Target.Domain) {
				t.Fatalf("sent to %s in %s again", second.Target.ID, second.Target.Domain)
			}
		})
	}
}

func TestRetriesStayInTheBudget(t *testing.T) {
	k := newHarness(t, 4)
	k.grant("o", func(s *kqcontract.Service, _ *Share) { s.Retries = 10 })
	first, extra := 0, 0
	for range 200 {
		id, effects := k.arrive("o", true)
		s, ok := started(effects)
		for ok {
			if s.Number == 1 {
				first++
			} else {
				extra++
			}
			effects = k.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Failed})
			k.feed(AttemptEnded{s.Attempt})
			s, ok = started(effects)
		}
		k.feed(CallClosed{id})
		k.now = k.now.Add(10 * time.Millisecond)
	}
	if extra > first/10+1 {
		t.Fatalf("%d repeats of %d first sends", extra, first)
	}
}

func TestFastFailingTargetIsAvoided(t *testing.T) {
	k := newHarness(t, 4)
	k.warm()
	bad := 0
	for range 400 {
		id, effects := k.arrive("o", true)
		s, ok := started(effects)
		for ok {
			if s.Target.ID != "t0" {
				k.now = k.now.Add(2 * time.Millisecond)
				effects = k.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered, Load: Load{1, 4}})
			} else {
				bad++
				effects = k.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Refused, Load: Load{0, 4}})
			}
			k.feed(AttemptEnded{s.Attempt})
			s, ok = started(effects)
		}
		k.feed(CallClosed{id})
	}
	if bad > 12 {
		t.Fatalf("a target that refuses everything got %d of 400 calls", bad)
	}
}

func TestEjectionIsPerOwner(t *testing.T) {
	k := newHarness(t, 4)
	k.grant("p", func(*kqcontract.Service, *Share) {})
	k.now = k.now.Add(time.Second)
	for _, target := range k.d.services["s"].targets {
		for range ejectAfterFailures {
			target.recordFailure("p", k.now)
		}
	}
	seen := map[string]bool{}
	for range 100 {
		seen[k.run("o", time.Millisecond)] = true
	}
	if len(seen) != 4 {
		t.Fatalf("owner o reaches %d targets that only owner p finds failing", len(seen))
	}
	if _, effects := k.arrive("p", true); len(effects) == 0 {
		t.Fatal("owner p reaches no target although all fail it alike")
	}
}

func TestSlowTargetGetsFewCalls(t *testing.T) {
	k := newHarness(t, 4)
	k.warm()
	slow := 0
	for range 300 {
		id, effects := k.arrive("o", true)
		s, _ := started(effects)
		took := 10 * time.Millisecond
		if s.Target.ID == "t0" {
			took = 100 * time.Millisecond
			slow++
		}
		k.now = k.now.Add(took)
		k.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
		k.feed(AttemptEnded{s.Attempt})
		k.feed(CallClosed{id})
	}
	if slow > 15 {
		t.Fatalf("a target ten times slower got %d of 300 calls", slow)
	}
}

func TestColdTargetEarnsItsSlots(t *testing.T) {
	k := newHarness(t, 1)
	inflight := func() int {
		n := 0
		for {
			_, effects := k.arrive("o", true)
			if _, ok := started(effects); !ok {
				return n
			}
			n++
		}
	}
	if n := inflight(); n > 2 {
		t.Fatalf("a cold target got %d calls at once", n)
	}
	k = newHarness(t, 1)
	k.warm()
	if n := inflight(); n < 4 {
		t.Fatalf("a warm target got %d calls at once", n)
	}
}

// TestSharesOfOwners lets two owners wait on one busy target.
func TestSharesOfOwners(t *testing.T) {
	k := newHarness(t, 1)
	k.warm()
	many := func(share float64) func(*kqcontract.Service, *Share) {
		return func(s *kqcontract.Service, h *Share) { s.Share, h.Queue, h.Active = share, 1000, 1000 }
	}
	k.grant("o", many(3))
	k.grant("p", many(1))
	k.now = k.now.Add(time.Second)
	owner := map[uint64]string{}
	open := []Start{}
	note := func(effects []Effect) {
		if s, ok := started(effects); ok {
			open = append(open, s)
		}
	}
	for range 200 {
		for _, o := range []string{"o", "p"} {
			id, effects := k.arrive(o, true)
			owner[id] = o
			note(effects)
		}
	}
	count := map[string]int{}
	for range 200 {
		s := open[0]
		open = open[1:]
		k.now = k.now.Add(time.Millisecond)
		k.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
		effects := k.feed(AttemptEnded{s.Attempt})
		note(effects)
		count[owner[s.ID]]++
		k.feed(CallClosed{s.ID})
	}
	if ratio := float64(count["o"]) / float64(count["p"]); ratio < 2.5 || ratio > 3.5 {
		t.Fatalf("shares 3 to 1 gave %v", count)
	}
}

// TestNestedCallsDoNotBlockEachOther lets many callers make calls that make
// calls, nine deep, under one limit that the first level alone would use up.
func TestNestedCallsDoNotBlockEachOther(t *testing.T) {
	k := newHarness(t, 40)
	k.warm()
	k.grant("o", func(_ *kqcontract.Service, s *Share) { s.Active, s.Queue = 20, 1000 })
	type chain struct {
		ids      []uint64
		attempts []uint64
	}
	const chains = 30
	byCall, finished := map[uint64]*chain{}, 0
	var due []*chain // whose newest call was sent, in order: level by level
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
			finished++ // the deepest answers, then each level above it
			for i := len(c.attempts) - 1; i >= 0; i-- {
				k.feed(AttemptReplied{Attempt: c.attempts[i], Outcome: Answered})
				handle(k.feed(AttemptEnded{c.attempts[i]}))
				handle(k.feed(CallClosed{c.ids[i]}))
			}
			return
		}
		k.id++
		byCall[k.id] = c
		c.ids = append(c.ids, k.id)
		handle(k.feed(CallArrived{Call{ID: k.id, Owner: "o", Service: "s", Idempotent: true, Deadline: k.now.Add(time.Hour), Depth: len(c.ids) - 1}}))
	}
	k.feed(CallArrived{Call{ID: 1 << 40, Owner: "o", Service: "s", Deadline: k.now.Add(time.Hour), Depth: 1}}) // nesting is known
	for range chains {
		call(&chain{})
	}
	for range 1000 {
		for len(due) > 0 {
			c := due[0]
			due = due[1:]
			call(c)
		}
		k.now = k.now.Add(TickInterval)
		handle(k.feed(Tick{}))
	}
	if finished != chains {
		t.Fatalf("%d of %d chains finished", finished, chains)
	}
}

func TestClosedCallFreesTheSlot(t *testing.T) {
	k := newHarness(t, 1)
	id, effects := k.arrive("o", true)
	s, _ := started(effects)
	effects = k.feed(CallClosed{id})
	if len(effects) != 1 || effects[0] != (Cancel{ID: id, Attempt: s.Attempt}) {
		t.Fatalf("%v", effects)
	}
	k.feed(AttemptEnded{s.Attempt})
	if n := len(k.d.services["s"].targets[0].inFlight); n != 0 || len(k.d.calls) != 0 || len(k.d.attempts) != 0 {
		t.Fatalf("%d attempts hold the target", n)
	}
}
