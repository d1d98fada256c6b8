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

// TestExpectedOrder holds which of two targets is the better one.
func TestExpectedTimeOrder(t *testing.T) {
	cases := []struct {
		name          string
		better, worse Sample
	}{
		{"idle before busy above the knee", loadSample(0, 0, 1), loadSample(3, 0, 1)},
		{"fast and half full before slow and idle", loadSample(2, 0, 1), loadSample(0, 0, 5)},
		{"a free slot before a queue", loadSample(3, 0, 1), loadSample(4, 1, 1)},
		{"a short queue before a long one", loadSample(4, 1, 1), loadSample(4, 6, 1)},
		{"one's own sends count before the target sees them", loadSample(0, 0, 1), Sample{Slots: 4, Slowdown: 1, At: epoch, Sent: 4}},
		{"known to be fast before unknown", loadSample(0, 0, 1), Sample{}},
	}
	for _, c := range cases {
		a, b := c.better.ExpectedTime(epoch, 4, 0, initialSaturationSlowdown), c.worse.ExpectedTime(epoch, 4, 0, initialSaturationSlowdown)
		if a >= b {
			t.Errorf("%s: %.2f, %.2f", c.name, a, b)
		}
	}
	old := loadSample(0, 0, 5)
	if now, later := old.ExpectedTime(epoch, 4, 0, initialSaturationSlowdown), old.ExpectedTime(epoch.Add(slowdownDecay), 4, 0, initialSaturationSlowdown); later >= now {
		t.Errorf("slowness does not fade with the age of the answer: %.2f, %.2f", now, later)
	}
}

// TestFailFastDrawsNoLoad holds that a target that answers at once with
// failures is left alone although it looks idle, and comes back after a while.
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
	asked := func(*Target) bool { return true }
	for range 100 {
		if LowestScore(Candidates(list, 4, "", epoch, rng), asked, epoch, "") == bad {
			t.Fatal("the failing target is chosen")
		}
	}
	later := epoch.Add(3 * failureDecay)
	for _, x := range list {
		x.LastLoad.At = later
	}
	for range 100 {
		if LowestScore(Candidates(list, 4, "", later, rng), asked, later, "") == bad {
			return
		}
	}
	t.Fatal("the target is never tried again")
}

func TestUnreachable(t *testing.T) {
	x := &Target{Slots: 4}
	x.RecordUnreachable(epoch)
	first := x.downTime
	x.RecordUnreachable(epoch)
	if !x.Down(epoch.Add(first)) || x.Down(epoch.Add(maxDownTime)) {
		t.Fatalf("down for %s, then %s", first, x.downTime)
	}
	x.RecordSuccess(epoch)
	if x.Down(epoch) {
		t.Fatal("a success does not end it")
	}
}

// TestBudgetHoldsInEveryWindow plays a burst of failures over requests that
// come and go: in no window do second sends exceed the share and the slack.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	const window, hosts = 10 * time.Second, 4
	rng := rand.New(rand.NewPCG(5, 6))
	b := RetryBudget{Ratio: 0.2, Slack: 56, Window: window}
	var requests, seconds []time.Time
	for at := epoch; at.Before(epoch.Add(time.Minute)); at = at.Add(time.Duration(rng.IntN(20)) * time.Millisecond) {
		if at.Sub(epoch)%(20*time.Second) < 8*time.Second || rng.IntN(20) == 0 {
			b.Request(at)
			requests = append(requests, at)
		}
		if b.Take(at, hosts) {
			seconds = append(seconds, at)
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
	if len(seconds) < 50 {
		t.Fatalf("only %d second sends", len(seconds))
	}
	for _, end := range seconds {
		// One part of the window more is what counting in parts may miss.
		if n, limit := within(seconds, end), 0.2*float64(within(requests, end))+56/hosts+1; float64(n) > limit {
			t.Fatalf("%d second sends in a window that allows %.1f", n, limit)
		}
	}
}

// TestBudgetOfHostsThatEnd holds the sum over all hosts when more than half of
// them end in a burst of failures: hunted on ezelplek, where the others took
// the slack of the dead, and counted requests that had left the window.
func TestRetryBudgetWhenHostsStop(t *testing.T) {
	const window, all, left, perHost = 10 * time.Second, 16, 7, 22 // requests a second
	var budgets []*RetryBudget
	for range all {
		budgets = append(budgets, &RetryBudget{Ratio: 0.2, Slack: 60, Window: window})
	}
	before, requests, seconds := 0, 0, 0 // the window before counts where it has more requests
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
			if ms >= 20000 && ms < 30000 { // the window that holds both
				if ms%(1000/perHost) == 0 {
					requests++
				}
				if took {
					seconds++
				}
			}
		}
	}
	if limit := 0.2*float64(max(before, requests)) + 60; float64(seconds) > limit {
		t.Fatalf("%d second sends, allowed are %.0f", seconds, limit)
	}
}

func TestQueue(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	urgent := &Waiter{Priority: 1, StartBy: at(100), GiveUpAt: at(400)}
	soon := &Waiter{Priority: 2, StartBy: at(50), GiveUpAt: at(400)}
	later := &Waiter{Priority: 2, StartBy: at(200), GiveUpAt: at(400)}
	late := &Waiter{Priority: 0, StartBy: at(-10), GiveUpAt: at(400)}
	t.Run("in time before late, urgent first, then who must start first", func(t *testing.T) {
		var l Queue
		for _, w := range []*Waiter{late, later, soon, urgent} {
			if !l.Enqueue(w, epoch) {
				t.Fatal("refused")
			}
		}
		for i, want := range []*Waiter{urgent, soon, later, late, nil} {
			if got := l.Dequeue(epoch); got != want {
				t.Fatalf("place %d: %+v", i, got)
			}
		}
	})
	t.Run("who would wait in vain is refused at once", func(t *testing.T) {
		var l Queue
		joined := 0
		for range 100 {
			if l.Enqueue(&Waiter{StartBy: at(100), GiveUpAt: at(2000)}, epoch) {
				joined++
			}
		}
		if joined == 0 || joined == 100 {
			t.Fatalf("%d of 100 wait", joined)
		}
		if l.Enqueue(&Waiter{GiveUpAt: at(20)}, epoch) {
			t.Fatal("one without time joins a long line")
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
		room int
	}{
		{"idle", loadSample(0, 0, 1), 0, epoch, 3},
		{"at the knee", loadSample(3, 0, 1), 0, epoch, 0},
		{"slow", loadSample(0, 0, 5), 0, epoch, 0},
		{"own sends it has not seen", Sample{Slots: 4, Slowdown: 1, At: epoch, Sent: 2}, 0, epoch, 1},
		{"told too long ago", loadSample(0, 0, 1), 0, epoch.Add(2 * maxLoadAge), 0},
	}
	for _, c := range cases {
		x.LastLoad, x.InFlight = c.last, c.own
		if got := x.Headroom(c.now, true); got != c.room {
			t.Errorf("%s: %d, want %d", c.name, got, c.room)
		}
	}
}

// TestAllowance holds that what is saved in a quiet time can be taken in a busy
// one, and no more than the rate over all.
func TestTokenBucket(t *testing.T) {
	var a TokenBucket
	taken := 0
	const rate, most, seconds = 50.0, 300.0, 60
	for ms := range seconds * 1000 {
		a.Refill(rate, most, epoch.Add(time.Duration(ms)*time.Millisecond))
		if ms%1000 < 500 && ms > 20000 && a.Take() { // only half of the time, and not at first
			taken++
		}
	}
	if taken < 40*rate || float64(taken) > rate*seconds+initialTokens {
		t.Fatalf("%d taken", taken)
	}
}

// TestAskFor: in a burst questions are spread over all requests.
func TestProbeCount(t *testing.T) {
	for _, c := range []struct {
		level float64
		want  int
	}{{1, MaxProbes}, {0.5, MaxProbes}, {0.3, 3}, {0.1, minProbes}, {0, minProbes}} {
		if got := ProbeCount(c.level); got != c.want {
			t.Errorf("at level %v asks %d, want %d", c.level, got, c.want)
		}
	}
	var a TokenBucket
	if a.Level() != 1 {
		t.Error("nothing is left before the start")
	}
	a.Refill(10, 100, time.Unix(0, 0))
	for a.Take() {
	}
	a.Refill(10, 100, time.Unix(5, 0))
	if got := a.Level(); got != 0.5 {
		t.Errorf("level %v after half of the time", got)
	}
}

// TestNearCandidates: targets of the own failure domain are asked first, and
// others as soon as those have no room.
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
		t.Errorf("%d of %d candidates are near", n, MaxProbes)
	}
	for _, x := range list {
		if x.Domain == "a" {
			x.RecordLoad(Sample{Running: 4, Slots: 4, Slowdown: 1, At: now})
		}
	}
	if n := near(); n != 0 {
		t.Errorf("%d candidates are near although none there has room", n)
	}
}

// TestShortLineOfARareKind: a kind with two requests a second on this host must
// not be refused for a line of three while its objective leaves 80 ms to start.
func TestShortQueueAtLowRequestRate(t *testing.T) {
	now := time.Unix(10, 0)
	var l Queue
	l.RecordStart(now.Add(-time.Second))
	for i := range 3 {
		if !l.Enqueue(&Waiter{StartBy: now.Add(80 * time.Millisecond), GiveUpAt: now.Add(80 * time.Millisecond)}, now) {
			t.Fatalf("refused behind %d others, expecting to wait for %v", i, l.ExpectedWait(now))
		}
	}
	for range 100 {
		l.Enqueue(&Waiter{StartBy: now.Add(time.Second), GiveUpAt: now.Add(time.Second)}, now)
	}
	if l.Enqueue(&Waiter{StartBy: now.Add(80 * time.Millisecond), GiveUpAt: now.Add(80 * time.Millisecond)}, now) {
		t.Fatal("joins a line that is far too long")
	}
}

// TestHold: the end of a long body waits for a target that is slow now or may be,
// not for one that tells nothing, and not for ever.
func TestBodyHold(t *testing.T) {
	at := func(slow float64, age time.Duration) Sample {
		return Sample{Slots: 4, Slowdown: slow, At: epoch.Add(-age)}
	}
	cases := []struct {
		name  string
		last  Sample
		until time.Duration
		want  time.Duration
	}{
		{"quick a moment ago", at(1, 5*time.Millisecond), time.Second, 0},
		{"quick a while ago", at(1, 100*time.Millisecond), time.Second, bodyHoldProbeInterval},
		{"slow now", at(5, 5*time.Millisecond), time.Second, bodyHoldProbeInterval},
		{"slow for long", at(5, 5*time.Millisecond), 0, 0},
		{"never told", Sample{}, time.Second, 0},
	}
	for _, c := range cases {
		if got := BodyHoldDelay(&Target{Slots: 4, LastLoad: c.last}, epoch, epoch.Add(c.until)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := BodyHoldDeadline(epoch, epoch.Add(-time.Second)); !got.Equal(epoch.Add(minBodyHold)) {
		t.Errorf("a late one waits until %v", got.Sub(epoch))
	}
	if got := BodyHoldDeadline(epoch, epoch.Add(time.Minute)); !got.Equal(epoch.Add(time.Minute)) {
		t.Errorf("one with much time waits until %v", got.Sub(epoch))
	}
}
