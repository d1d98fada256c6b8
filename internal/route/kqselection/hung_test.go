package kqselection

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRecordSends checks which reports of a target show that it has lost a send. It guards
// against giving up slow requests, and answers that are under way.
func TestRecordSends(t *testing.T) {
	type report struct {
		at       time.Duration // after the send
		reported int
	}
	const ms = time.Millisecond
	cases := []struct {
		name    string
		reports []report
		others  int           // further sends from this host
		expects time.Duration // of the oldest send
		want    bool
	}{
		{"idle twice", []report{{500 * ms, 0}, {600 * ms, 0}}, 0, 100 * ms, true},
		{"idle once", []report{{500 * ms, 0}}, 0, 100 * ms, false},
		{"idle twice within the time of an answer under way", []report{{500 * ms, 0}, {510 * ms, 0}}, 0, 100 * ms, false},
		{"slow but alive", []report{{500 * ms, 1}, {5000 * ms, 1}}, 0, 100 * ms, false},
		{"idle and alive by turns", []report{{500 * ms, 0}, {600 * ms, 1}, {700 * ms, 0}}, 0, 100 * ms, false},
		{"idle, but not overdue", []report{{100 * ms, 0}, {200 * ms, 0}}, 0, 100 * ms, false},
		{"idle, but expected to take longer", []report{{500 * ms, 0}, {600 * ms, 0}}, 0, time.Second, false},
		{"one fewer than this host sent", []report{{500 * ms, 1}, {600 * ms, 1}}, 1, 100 * ms, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := &Target{Slots: 2, Hangs: &Hangs{}, InFlight: 1 + c.others}
			oldest := &Send{Expected: c.expects, SentAt: epoch}
			for range c.others {
				x.BeginSend(&Send{Expected: c.expects, SentAt: epoch.Add(time.Millisecond)})
			}
			x.BeginSend(oldest)
			var lost *Send
			for _, r := range c.reports {
				at := epoch.Add(r.at)
				if s := x.RecordSends(r.reported, at, at); s != nil {
					lost = s
				}
			}
			if got := lost == oldest; got != c.want || oldest.Lost != c.want || x.Hangs.Seen(epoch) != c.want {
				t.Fatalf("lost %v, hangs %v", lost, x.Hangs.Seen(epoch))
			}
			if want := 1 + c.others; c.want && x.InFlight != want-1 || !c.want && x.InFlight != want {
				t.Errorf("%d in flight", x.InFlight)
			}
			x.EndSend(oldest)
			if x.InFlight != c.others {
				t.Errorf("%d in flight after the end, want %d", x.InFlight, c.others)
			}
		})
	}
}

// TestLateAnswerEndsTrust guards against targets whose reports leave out requests that they
// run: after the answer to a lost send, none counts as lost.
func TestLateAnswerEndsTrust(t *testing.T) {
	x := &Target{Slots: 2, Hangs: &Hangs{}, InFlight: 1}
	x.BeginSend(&Send{SentAt: epoch})
	x.Hangs.RecordLateAnswer(epoch)
	for i := range 4 {
		at := epoch.Add(time.Duration(1+i) * time.Second)
		if x.RecordSends(0, at, at) != nil {
			t.Fatal("counted as lost")
		}
	}
}

// TestHungDelay checks that the probes for one send become rarer.
func TestHungDelay(t *testing.T) {
	x, s := &Target{Hangs: &Hangs{}}, &Send{Expected: 100 * time.Millisecond, SentAt: epoch}
	for i, want := range []time.Duration{400, 800, 1600, 3200, 4000, 4000} {
		if got := x.HungDelay(s); got != want*time.Millisecond {
			t.Errorf("delay %d: %v, want %v", i, got, want*time.Millisecond)
		}
	}
	x.BeginSend(s)
	at := epoch.Add(time.Second)
	x.RecordSends(0, at, at)
	if got := x.HungDelay(s); got != hungConfirmTime {
		t.Errorf("delay to the second report: %v", got)
	}
}

// TestNoSendWithoutRoomWhereTargetsHang guards against sends that a full target never
// answers: once one has hung, sends without a report and trials of full targets end.
func TestNoSendWithoutRoomWhereTargetsHang(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		s := &Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{}}
		if hangs {
			s.Hangs.Record(epoch)
		}
		for range 100 {
			s.Saturation.Record(3) // nearly full targets are not filled
		}
		old := &Target{Slots: 4, LastLoad: loadSample(0, 0, 1)}
		if got := s.PickUninformed([]*Target{old}, epoch.Add(time.Second)) != nil; got == hangs {
			t.Errorf("hangs %v: sent without a young report: %v", hangs, got)
		}
		if got := s.PickUninformed([]*Target{{Slots: 4, LastLoad: loadSample(0, 0, 1)}}, epoch); got == nil {
			t.Errorf("hangs %v: not sent by a young report", hangs)
		}
		tried := false
		for range 2 * exploreEveryLearned {
			full := &Target{Slots: 4, LastLoad: loadSample(3, 0, 1), Saturation: s.Saturation}
			tried = tried || s.Pick([]*Target{full}, map[*Target]bool{full: true}, epoch) != nil
		}
		if tried == hangs {
			t.Errorf("hangs %v: tried a nearly full target: %v", hangs, tried)
		}
		full := &Target{Slots: 4, LastLoad: loadSample(4, 0, 1)}
		if got := s.BodyHoldDelay(full, epoch, epoch, epoch.Add(time.Second)) > 0; got != hangs {
			t.Errorf("hangs %v: the end of a body waits for a slot: %v", hangs, got)
		}
	}
}

// TestTimeoutShowsHang checks which timeouts show that targets of a service hang: not those
// of requests that met a slow machine.
func TestTimeoutShowsHang(t *testing.T) {
	const expected = 100 * time.Millisecond
	cases := []struct {
		name       string
		took       time.Duration
		reportedAt time.Time
		want       bool
	}{
		{"long, and the target reports", 2 * time.Second, epoch.Add(time.Second), true},
		{"long, without a report since", 2 * time.Second, epoch.Add(-time.Second), false},
		{"as long as on a slow machine", 5 * expected, epoch.Add(expected), false},
	}
	for _, c := range cases {
		var h Hangs
		now := epoch.Add(c.took)
		h.RecordTimeout(&Send{Expected: expected, SentAt: epoch}, c.reportedAt, now)
		if h.Seen(now) != c.want || h.Seen(now.Add(hangMemory)) {
			t.Errorf("%s: hangs %v, later %v", c.name, h.Seen(now), h.Seen(now.Add(hangMemory)))
		}
	}
}
