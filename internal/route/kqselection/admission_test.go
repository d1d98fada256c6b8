package kqselection

import (
	"math/rand/v2"
	"testing"
	"time"
)

// pressed returns the admission of a service under pressure, to which urgent requests
// (priority 0) and less urgent ones (priority 2) came and started in equal shares.
func pressed(now time.Time) Admission {
	a := Admission{Active: true}
	a.RecordProbed(20, 18, now)
	for range 5 {
		for _, p := range []int{0, 2} {
			a.RecordArrival(p, now)
			a.RecordStart(p, now)
		}
	}
	return a
}

// TestYields checks which requests leave room to others.
func TestYields(t *testing.T) {
	cases := []struct {
		name     string
		change   func(a *Admission)
		priority int
		at       time.Time
		want     bool
	}{
		{"less urgent under pressure", func(*Admission) {}, 2, epoch, true},
		{"the most urgent class", func(*Admission) {}, 0, epoch, false},
		{"inactive", func(a *Admission) { a.Active = false }, 2, epoch, false},
		{"most targets have headroom", func(a *Admission) { a.RecordProbed(20, 0, epoch) }, 2, epoch, false},
		{"too few probes to tell", func(a *Admission) { a.probed, a.full = decayedCount{}, decayedCount{} }, 2, epoch, false},
		{"no urgent request for a long time", func(a *Admission) { a.RecordProbed(20, 20, epoch.Add(time.Minute)) }, 2, epoch.Add(time.Minute), false},
		{"a class that is served much less than all", func(a *Admission) {
			for range 10 {
				a.RecordArrival(2, epoch)
			}
			for range 40 {
				a.RecordArrival(0, epoch)
				a.RecordStart(0, epoch)
			}
		}, 2, epoch, false},
	}
	for _, c := range cases {
		a := pressed(epoch)
		c.change(&a)
		if got := a.Yields(c.priority, c.at); got != c.want {
			t.Errorf("%s: yields %v", c.name, got)
		}
	}
}

// TestRoomIsLeftToUrgent guards against the least urgent class taking each slot that is
// free, so that urgent requests with short objectives find none.
func TestRoomIsLeftToUrgent(t *testing.T) {
	free := func() *Target { return &Target{Slots: 4, LastLoad: loadSample(0, 0, 1)} }
	full := &Target{Slots: 4, LastLoad: loadSample(4, 0, 1)}
	cases := []struct {
		name     string
		list     []*Target
		priority int
		active   bool
		want     bool
	}{
		{"one target has headroom, less urgent", []*Target{free(), full}, 2, true, false},
		{"one target has headroom, urgent", []*Target{free(), full}, 0, true, true},
		{"two targets have headroom, less urgent", []*Target{free(), free(), full}, 2, true, true},
		{"one target has headroom, requests do not differ", []*Target{free(), full}, 2, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fresh := map[*Target]bool{}
			for _, x := range c.list {
				fresh[x] = true
			}
			s := &Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{}, Admission: pressed(epoch)}
			s.Admission.Active = c.active
			assigned := false
			w := &Waiter{Priority: c.priority, StartBy: epoch.Add(time.Second), GiveUpAt: epoch.Add(time.Second), Assign: func(*Target) { assigned = true }}
			if !s.Enqueue(w, epoch) {
				t.Fatal("not queued")
			}
			s.AssignQueued(c.list, fresh, epoch)
			if assigned != c.want {
				t.Errorf("queued request started: %v", assigned)
			}
			if got := s.PickFor(&Waiter{Priority: c.priority}, c.list, fresh, epoch, true) != nil; got != c.want {
				t.Errorf("request that just came started: %v", got)
			}
		})
	}
}

// TestUrgentIsNotHeldBackByQueue guards against an urgent request that is refused, or does
// not look for room itself, because less urgent ones wait.
func TestUrgentIsNotHeldBackByQueue(t *testing.T) {
	s := &Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{}, Admission: pressed(epoch)}
	waiter := func(priority int, d time.Duration) *Waiter {
		return &Waiter{Priority: priority, StartBy: epoch.Add(d), GiveUpAt: epoch.Add(d), Assign: func(*Target) {}}
	}
	queued := 0
	for range 100 {
		if s.Enqueue(waiter(2, 4*time.Second), epoch) {
			queued++
		}
	}
	if queued < 2 || queued > 20 {
		t.Errorf("%d less urgent requests wait for 4 s, of which few can start in time", queued)
	}
	if s.MustQueue(0, epoch) || !s.MustQueue(2, epoch) {
		t.Error("less urgent requests hold back urgent ones, or not their own class")
	}
	if !s.Enqueue(waiter(0, 50*time.Millisecond), epoch) {
		t.Error("an urgent request was refused because of less urgent ones")
	}
	if d := s.ReturnDelay(2, 10*time.Second, epoch); d < time.Second || d > 5*time.Second {
		t.Errorf("a refused request comes back after %v", d)
	}
	if d := s.ReturnDelay(0, 10*time.Second, epoch); d != 0 {
		t.Errorf("an urgent request comes back after %v", d)
	}
}

// TestFullQueuePushesOutLeastUrgent checks who leaves a full queue.
func TestFullQueuePushesOutLeastUrgent(t *testing.T) {
	s := &Selector{Saturation: &Saturation{}, Admission: Admission{Active: true}}
	var left []*Waiter
	waiter := func(priority int) *Waiter {
		w := &Waiter{Priority: priority, StartBy: epoch.Add(time.Hour), GiveUpAt: epoch.Add(time.Hour)}
		w.Assign = func(*Target) { left = append(left, w) }
		return w
	}
	var last *Waiter
	for i := range maxQueueLength {
		w := waiter(1 + i%2)
		if !s.Enqueue(w, epoch) {
			t.Fatal("not queued")
		}
		if w.Priority == 2 {
			last = w
		}
	}
	if s.Enqueue(waiter(2), epoch) {
		t.Error("a request of the least urgent class was added to a full queue")
	}
	if !s.Enqueue(waiter(0), epoch) || len(left) != 1 || left[0] != last || !last.PushedOut {
		t.Errorf("%d requests left the queue", len(left))
	}
}

// TestProbesAreLeftToUrgent guards against waiting requests that use up the probe budget,
// so that urgent ones find no target.
func TestProbesAreLeftToUrgent(t *testing.T) {
	s := &Selector{Admission: pressed(epoch)}
	s.Queue.add(&Waiter{Priority: 2})
	if s.MayProbeQueued(reservedProbes, epoch) || !s.MayProbeQueued(1, epoch) {
		t.Error("less urgent requests take the reserved probes, or none")
	}
	s.Queue.add(&Waiter{Priority: 0})
	if !s.MayProbeQueued(0.01, epoch) {
		t.Error("an urgent request gets no probes")
	}
}

// TestBodyHoldForFreeSlot guards against bodies that arrive at a target which has filled up
// meanwhile, and wait there ahead of urgent requests.
func TestBodyHoldForFreeSlot(t *testing.T) {
	s := &Selector{Admission: Admission{Active: true}}
	full := &Target{Slots: 4, LastLoad: loadSample(4, 0, 1)}
	if s.BodyHoldDelay(full, epoch, epoch.Add(time.Second), epoch) == 0 || s.BodyHoldDelay(full, epoch, epoch, epoch) != 0 {
		t.Error("the body is not held back, or without a limit")
	}
	if s.BodyHoldDelay(&Target{Slots: 4, LastLoad: loadSample(3, 0, 1)}, epoch, epoch.Add(time.Second), epoch) != 0 {
		t.Error("the body is held back although a slot is free")
	}
	s.Admission.Active = false
	if s.BodyHoldDelay(full, epoch, epoch.Add(time.Second), epoch) != 0 {
		t.Error("the body is held back although requests do not differ in priority")
	}
}

// TestTightRequestsDoNotYield guards against requests that become late because they leave room to
// urgent ones, although their objective leaves them no time to wait.
func TestTightRequestsDoNotYield(t *testing.T) {
	for _, c := range []struct {
		objective, serviceTime time.Duration
		tight                  bool
	}{{4 * time.Second, 260 * time.Millisecond, false}, {600 * time.Millisecond, 220 * time.Millisecond, true}, {0, time.Second, true}} {
		if got := IsTight(c.objective, c.serviceTime); got != c.tight {
			t.Errorf("objective %s, service time %s: tight %v", c.objective, c.serviceTime, got)
		}
	}
	s := &Selector{Saturation: &Saturation{}, Admission: Admission{Active: true}}
	s.Admission.RecordArrival(0, epoch)
	s.Admission.RecordProbed(10, 10, epoch)
	list := []*Target{{ID: "a", Slots: 4, LastLoad: loadSample(0, 0, 1)}}
	fresh := map[*Target]bool{}
	if s.PickFor(&Waiter{Priority: 2}, list, fresh, epoch, true) != nil {
		t.Error("a request with time to spare takes the last room under pressure")
	}
	if s.PickFor(&Waiter{Priority: 2, Tight: true}, list, fresh, epoch, true) == nil {
		t.Error("a request without time to spare leaves room to others")
	}
}
