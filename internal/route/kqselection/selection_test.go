package kqselection

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func loadSample(running, waiting int, slow float64) Sample {
	return Sample{Running: running, Waiting: waiting, Slots: 4, Slowdown: slow, At: epoch}
}

// TestExpectedTimeOrder checks which of two targets has the lower expected time.
func TestExpectedTimeOrder(t *testing.T) {
	cases := []struct {
		name          string
		better, worse Sample
	}{
		{"idle before busy above the saturation threshold", loadSample(0, 0, 1), loadSample(3, 0, 1)},
		{"fast and half full before slow and idle", loadSample(2, 0, 1), loadSample(0, 0, 5)},
		{"a free slot before a queue", loadSample(3, 0, 1), loadSample(4, 1, 1)},
		{"a short queue before a long one", loadSample(4, 1, 1), loadSample(4, 6, 1)},
		{"sends from this host count before the target reports them", loadSample(0, 0, 1), Sample{Slots: 4, Slowdown: 1, At: epoch, Sent: 4}},
		{"known to be fast before an unknown slowdown", loadSample(0, 0, 1), Sample{}},
	}
	for _, c := range cases {
		a, b := c.better.ExpectedTime(epoch, 4, 0, initialSaturationSlowdown), c.worse.ExpectedTime(epoch, 4, 0, initialSaturationSlowdown)
		if a >= b {
			t.Errorf("%s: %.2f, %.2f", c.name, a, b)
		}
	}
	old := loadSample(0, 0, 5)
	if now, later := old.ExpectedTime(epoch, 4, 0, initialSaturationSlowdown), old.ExpectedTime(epoch.Add(slowdownDecay), 4, 0, initialSaturationSlowdown); later >= now {
		t.Errorf("slowdown does not decay with the age of the report: %.2f, %.2f", now, later)
	}
}

// TestFastFailingTargetIsAvoided guards against a target that fails every request at once:
// it looks idle and would draw all the load. It must be tried again after a while.
func TestFastFailingTargetIsAvoided(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	bad := &Target{ID: "bad", Slots: 4, LastLoad: loadSample(0, 0, 1)}
	list := []*Target{bad}
	for range 5 {
		list = append(list, &Target{ID: "good", Slots: 4, LastLoad: loadSample(2, 0, 1)})
	}
	for range 3 {
		bad.RecordFailure(epoch)
	}
	probed := func(*Target) bool { return true }
	for range 100 {
		if LowestScore(Candidates(list, 4, "", epoch, rng), probed, epoch, "") == bad {
			t.Fatal("the failing target was selected")
		}
	}
	later := epoch.Add(3 * failureDecay)
	for _, x := range list {
		x.LastLoad.At = later
	}
	for range 100 {
		if LowestScore(Candidates(list, 4, "", later, rng), probed, later, "") == bad {
			return
		}
	}
	t.Fatal("the target was never selected again")
}

func TestUnreachable(t *testing.T) {
	x := &Target{Slots: 4}
	x.RecordUnreachable(epoch)
	first := x.downTime
	x.RecordUnreachable(epoch)
	if x.Available(epoch.Add(first)) || !x.Available(epoch.Add(maxDownTime)) {
		t.Fatalf("down for %s, then %s", first, x.downTime)
	}
	x.RecordSuccess(epoch)
	if !x.Available(epoch) {
		t.Fatal("still down after a success")
	}
}

// TestRetryBudgetHoldsInEveryWindow plays a burst of failures over a varying request rate:
// in no window may retries exceed the share of the requests plus the slack.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	const window, hosts = 10 * time.Second, 4
	rng := rand.New(rand.NewPCG(5, 6))
	b := RetryBudget{Ratio: 0.2, Slack: 56, Window: window}
	var requests, retries []time.Time
	for at := epoch; at.Before(epoch.Add(time.Minute)); at = at.Add(time.Duration(rng.IntN(20)) * time.Millisecond) {
		if at.Sub(epoch)%(20*time.Second) < 8*time.Second || rng.IntN(20) == 0 {
			b.Request(at)
			requests = append(requests, at)
		}
		if b.Take(at, hosts) {
			retries = append(retries, at)
		}
	}
	within := func(list []time.Time, end time.Time) int {
		n := 0
		for _, x := range list {
			if !x.After(end) && end.Sub(x) < window {
				n++
			}
		}
		return n
	}
	if len(retries) < 50 {
		t.Fatalf("only %d retries", len(retries))
	}
	for _, end := range retries {
		// The 1 allows for the rounding of the window to whole parts.
		if n, limit := within(retries, end), 0.2*float64(within(requests, end))+56/hosts+1; float64(n) > limit {
			t.Fatalf("%d retries in a window that allows %.1f", n, limit)
		}
	}
}

// TestRetryBudgetWhenHostsStop checks the sum over all hosts when more than half of them
// stop in a burst of failures. It guards against the remaining hosts using the slack of the
// stopped ones in the same window, and counting requests that have left the window.
func TestRetryBudgetWhenHostsStop(t *testing.T) {
	const window, all, left, perHost = 10 * time.Second, 16, 7, 22 // requests a second
	var budgets []*RetryBudget
	for range all {
		budgets = append(budgets, &RetryBudget{Ratio: 0.2, Slack: 60, Window: window})
	}
	before, requests, retries := 0, 0, 0 // requests of the previous window, which count if there were more
	hosts := all
	for ms := 0; ms < 40000; ms++ {
		at := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms == 25000 {
			hosts = left
		}
		for _, b := range budgets[:hosts] {
			if ms%(1000/perHost) == 0 {
				b.Request(at)
			}
			if ms >= 10000 && ms < 20000 && ms%(1000/perHost) == 0 {
				before++
			}
			took := ms >= 20000 && b.Take(at, hosts)
			if ms >= 20000 && ms < 30000 { // the window in which hosts stop
				if ms%(1000/perHost) == 0 {
					requests++
				}
				if took {
					retries++
				}
			}
		}
	}
	if limit := 0.2*float64(max(before, requests)) + 60; float64(retries) > limit {
		t.Fatalf("%d retries, allowed are %.0f", retries, limit)
	}
}

func TestQueue(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	urgent := &Waiter{Priority: 1, StartBy: at(100), GiveUpAt: at(400)}
	soon := &Waiter{Priority: 2, StartBy: at(50), GiveUpAt: at(400)}
	later := &Waiter{Priority: 2, StartBy: at(200), GiveUpAt: at(400)}
	late := &Waiter{Priority: 0, StartBy: at(-10), GiveUpAt: at(400)}
	t.Run("in time before late, then by priority, then by latest start", func(t *testing.T) {
		var q Queue
		for _, w := range []*Waiter{late, later, soon, urgent} {
			if !q.Enqueue(w, epoch) {
				t.Fatal("refused by an empty queue")
			}
		}
		for i, want := range []*Waiter{urgent, soon, later, late, nil} {
			if got := q.Dequeue(epoch); got != want {
				t.Fatalf("position %d: %+v", i, got)
			}
		}
	})
	t.Run("a request that would wait too long is refused at once", func(t *testing.T) {
		var q Queue
		joined := 0
		for range 100 {
			if q.Enqueue(&Waiter{StartBy: at(100), GiveUpAt: at(2000)}, epoch) {
				joined++
			}
		}
		if joined == 0 || joined == 100 {
			t.Fatalf("%d of 100 requests were queued", joined)
		}
		if q.Enqueue(&Waiter{GiveUpAt: at(20)}, epoch) {
			t.Fatal("a request without time was added to a long queue")
		}
	})
}

func TestHeadroom(t *testing.T) {
	x := &Target{Slots: 4}
	cases := []struct {
		name string
		last Sample
		own  int
		now  time.Time
		want int
	}{
		{"idle", loadSample(0, 0, 1), 0, epoch, 3},
		{"at the saturation threshold", loadSample(3, 0, 1), 0, epoch, 0},
		{"slow", loadSample(0, 0, 5), 0, epoch, 0},
		{"sends from this host that the report does not include", Sample{Slots: 4, Slowdown: 1, At: epoch, Sent: 2}, 0, epoch, 1},
		{"report too old", loadSample(0, 0, 1), 0, epoch.Add(2 * maxLoadAge), 0},
	}
	for _, c := range cases {
		x.LastLoad, x.InFlight = c.last, c.own
		if got := x.Headroom(c.now, true); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestTokenBucket checks that tokens saved at low load can be taken at high load, and that
// the rate holds overall.
func TestTokenBucket(t *testing.T) {
	var b TokenBucket
	taken := 0
	const rate, most, seconds = 50.0, 300.0, 60
	for ms := range seconds * 1000 {
		b.Refill(rate, most, epoch.Add(time.Duration(ms)*time.Millisecond))
		if ms%1000 < 500 && ms > 20000 && b.Take() { // only half of the time, and not in the first 20 s
			taken++
		}
	}
	if taken < 40*rate || float64(taken) > rate*seconds+initialTokens {
		t.Fatalf("%d tokens taken", taken)
	}
}

// TestProbeCount checks that the probes of a burst are spread over all requests.
func TestProbeCount(t *testing.T) {
	for _, c := range []struct {
		level float64
		want  int
	}{{1, MaxProbes}, {0.5, MaxProbes}, {0.3, 3}, {0.1, minProbes}, {0, minProbes}} {
		if got := ProbeCount(c.level); got != c.want {
			t.Errorf("at level %v: %d probes, want %d", c.level, got, c.want)
		}
	}
	var b TokenBucket
	if b.Level() != 1 {
		t.Error("the level is not 1 before the first refill")
	}
	b.Refill(10, 100, time.Unix(0, 0))
	for b.Take() {
	}
	b.Refill(10, 100, time.Unix(5, 0))
	if got := b.Level(); got != 0.5 {
		t.Errorf("level %v after half of the time to fill the bucket", got)
	}
}

// TestNearCandidates checks that targets of this host's failure domain come first, and
// others as soon as those have no headroom.
func TestNearCandidates(t *testing.T) {
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	var list []*Target
	for i := range 12 {
		list = append(list, &Target{Domain: string(rune('a' + i%3)), Slots: 4})
	}
	near := func() (n int) {
		for _, x := range Candidates(list, MaxProbes, "a", now, rng) {
			if x.Domain == "a" {
				n++
			}
		}
		return n
	}
	if n := near(); n != MaxProbes {
		t.Errorf("%d of %d candidates are in the own failure domain", n, MaxProbes)
	}
	for _, x := range list {
		if x.Domain == "a" {
			x.RecordLoad(Sample{Running: 4, Slots: 4, Slowdown: 1, At: now})
		}
	}
	if n := near(); n != 0 {
		t.Errorf("%d candidates are in the own failure domain although none there has headroom", n)
	}
}

// TestShortQueueAtLowRequestRate guards against refused requests where few arrive: with two
// requests a second on this host the expected wait was too long for a queue of three,
// although the objective left 80 ms to start.
func TestShortQueueAtLowRequestRate(t *testing.T) {
	now := time.Unix(10, 0)
	var q Queue
	q.RecordStart(now.Add(-time.Second))
	for i := range 3 {
		if !q.Enqueue(&Waiter{StartBy: now.Add(80 * time.Millisecond), GiveUpAt: now.Add(80 * time.Millisecond)}, now) {
			t.Fatalf("refused behind %d others, with an expected wait of %v", i, q.ExpectedWait(now))
		}
	}
	for range 100 {
		q.Enqueue(&Waiter{StartBy: now.Add(time.Second), GiveUpAt: now.Add(time.Second)}, now)
	}
	if q.Enqueue(&Waiter{StartBy: now.Add(80 * time.Millisecond), GiveUpAt: now.Add(80 * time.Millisecond)}, now) {
		t.Fatal("added to a queue that is far too long")
	}
}

// TestBodyHold checks that the end of a long body is held back for a target that is or may
// be slow, but not for one that reports no load, and not without a limit.
func TestBodyHold(t *testing.T) {
	at := func(slow float64, d time.Duration) Sample { return Sample{Slots: 4, Slowdown: slow, At: epoch.Add(-d)} }
	cases := []struct {
		name  string
		last  Sample
		until time.Duration
		want  time.Duration
	}{
		{"fast a moment ago", at(1, 5*time.Millisecond), time.Second, 0},
		{"fast a while ago", at(1, 100*time.Millisecond), time.Second, bodyHoldProbeInterval},
		{"slow now", at(5, 5*time.Millisecond), time.Second, bodyHoldProbeInterval},
		{"slow, and the hold has expired", at(5, 5*time.Millisecond), 0, 0},
		{"no load report", Sample{}, time.Second, 0},
	}
	for _, c := range cases {
		if got := BodyHoldDelay(&Target{Slots: 4, LastLoad: c.last}, epoch, epoch.Add(c.until)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := BodyHoldDeadline(epoch, epoch.Add(-time.Second)); !got.Equal(epoch.Add(minBodyHold)) {
		t.Errorf("the hold of a late request ends after %v", got.Sub(epoch))
	}
	if got := BodyHoldDeadline(epoch, epoch.Add(time.Minute)); !got.Equal(epoch.Add(time.Minute)) {
		t.Errorf("the hold of a request with much time left ends after %v", got.Sub(epoch))
	}
}

// TestDrainingTargetIsNotSelected guards against requests to a target that drains, which a
// list of candidates or a response from before the drain still offers.
func TestDrainingTargetIsNotSelected(t *testing.T) {
	newSelector := func() (*Selector, *int) {
		s := &Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{}}
		assigned := new(int)
		w := &Waiter{StartBy: epoch.Add(time.Second), GiveUpAt: epoch.Add(time.Second), Assign: func(*Target) { *assigned++ }}
		if !s.Queue.Enqueue(w, epoch) {
			t.Fatal("the request was not queued")
		}
		return s, assigned
	}
	cases := map[string]func(s *Selector, x *Target){
		"probed before the drain": func(s *Selector, x *Target) {
			s.AssignQueued([]*Target{x}, map[*Target]bool{x: true}, epoch)
		},
		"listed before the drain": func(s *Selector, x *Target) {
			s.AssignQueued(Candidates([]*Target{x}, 1, "", epoch, s.Rand), nil, epoch)
		},
		"responds after the drain": func(s *Selector, x *Target) {
			s.AssignHeadroom(x, epoch)
		},
		"never reported its load": func(s *Selector, x *Target) {
			x.LastLoad = Sample{}
			s.AssignQueued([]*Target{x}, nil, epoch)
		},
		"nearly full and explored": func(s *Selector, x *Target) {
			x.LastLoad = loadSample(3, 0, 1)
			for range 100 {
				s.AssignQueued([]*Target{x}, nil, epoch)
			}
		},
	}
	for name, assign := range cases {
		t.Run(name, func(t *testing.T) {
			s, assigned := newSelector()
			assign(s, &Target{Slots: 4, LastLoad: loadSample(0, 0, 1), DrainingSince: epoch})
			if *assigned != 0 {
				t.Error("the draining target was selected")
			}
		})
	}
}

// TestConnectedCandidates checks that targets with an idle connection come first, but only
// among those of the same tier.
func TestConnectedCandidates(t *testing.T) {
	var list []*Target
	for i := range 12 {
		list = append(list, &Target{Domain: string(rune('a' + i%2)), Slots: 2, Connected: i%4 >= 2})
	}
	for range 20 {
		got := Candidates(list, 6, "a", epoch, rand.New(rand.NewPCG(1, 1)))
		for i, x := range got {
			if x.Domain != "a" || x.Connected != (i < 3) {
				t.Fatalf("candidate %d: domain %s, connected %v", i, x.Domain, x.Connected)
			}
		}
	}
}
