package kqselection

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestColdPace checks the interval and the number of sharers against the limit: the sharers
// under two lists stay below it.
func TestColdPace(t *testing.T) {
	for _, c := range []struct {
		limits  ColdLimits
		rate    float64
		sharers int
		want    time.Duration
	}{
		{ColdLimits{1.5, 8}, 2.5, 2, 800 * time.Millisecond},
		{ColdLimits{}, 2.5, 2, 800 * time.Millisecond},
		{ColdLimits{1, 1}, 10, 2, time.Second * 10 / 18}, // two a second for each of four hosts
		{ColdLimits{1.5, 0}, 1, 1, time.Second * 10 / 9}, // 1.5 in a second
		{ColdLimits{1.5, 8}, 1e-9, 2, maxColdInterval},
	} {
		got := c.limits.Pace(c.rate)
		if got.Sharers != c.sharers || (got.Interval-c.want).Abs() > time.Microsecond {
			t.Errorf("%+v, rate %v: %+v, want %d sharers, %v", c.limits, c.rate, got, c.sharers, c.want)
		}
	}
}

// coldTarget returns a target that this host alone may send to, of which it has a token at
// epoch if it is cold.
func coldTarget(id string, until time.Time) *Target {
	l := NewEntryList("self")
	l.Set([]string{"self"}, epoch.Add(-time.Minute))
	l.HeardAt = epoch
	t := &Target{ID: id, Slots: 4, LastLoad: loadSample(0, 0, 1)}
	t.LimitCold(l, ColdLimits{}.Pace(testColdRate), epoch.Add(-time.Minute))
	if until.After(epoch) {
		t.RecordProbedCold(epoch.Add(-time.Minute), epoch.Add(-time.Minute), until)
	}
	return t
}

// TestYoungestColdNewsCounts guards against old news that undoes younger news: a probe that
// was on its way when the target became cold, or an announcement that came late.
func TestYoungestColdNewsCounts(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	probed := func(sent, until int) func(*Target) {
		return func(x *Target) {
			var end time.Time
			if until > 0 {
				end = at(until)
			}
			x.RecordProbedCold(at(20), at(sent), end)
		}
	}
	announced := func(made, seconds int) func(*Target) {
		return func(x *Target) { x.RecordAnnouncedCold(at(20), at(made), time.Duration(seconds)*time.Second) }
	}
	assumed := func(since int) func(*Target) { return func(x *Target) { x.AssumeCold(at(20), at(since)) } }
	for _, c := range []struct {
		name string
		news []func(*Target)
		want bool
	}{
		{"a younger probe says that it is warm", []func(*Target){announced(5, 60), probed(6, 0)}, false},
		{"an older probe says that it is warm", []func(*Target){announced(5, 60), probed(4, 0)}, true},
		{"an announcement comes after a younger probe", []func(*Target){probed(6, 0), announced(5, 60)}, false},
		{"cold again after a probe", []func(*Target){probed(6, 0), announced(7, 60)}, true},
		{"the same announcement again, after a probe", []func(*Target){announced(5, 60), probed(6, 0), announced(5, 60)}, false},
		{"announced before this host started, over by now", []func(*Target){announced(1, 5)}, false},
		{"assumed", []func(*Target){probed(6, 0), assumed(7)}, true},
		{"assumed, then probed", []func(*Target){assumed(7), probed(8, 0)}, false},
		{"assumed, with an older probe", []func(*Target){assumed(7), probed(6, 0)}, true},
		{"a younger probe is known when it is assumed", []func(*Target){probed(8, 0), assumed(7)}, false},
	} {
		x := coldTarget("x", time.Time{})
		for _, n := range c.news {
			n(x)
		}
		if got := x.IsCold(at(20)); got != c.want {
			t.Errorf("%s: cold %v", c.name, got)
		}
	}
}

// TestOneTokenOneChoice guards against two choices of one token, and against a token that is
// lost with a request that was not sent.
func TestOneTokenOneChoice(t *testing.T) {
	x := coldTarget("x", epoch.Add(time.Hour))
	s := Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{}}
	pick := func() *Target { return s.Pick([]*Target{x}, map[*Target]bool{x: true}, epoch) }
	if pick() != x || pick() != nil {
		t.Fatal("want one choice")
	}
	x.ReleaseCold()
	if pick() != x || x.BarredToSend(epoch) != NotBarred {
		t.Fatal("the token of an unsent request is lost")
	}
	if pick() != nil || x.BarredToSend(epoch) != Cold || x.BarredToProbe(epoch) != NotBarred {
		t.Fatal("want no second send, and no limit for probes")
	}
	later := epoch.Add(x.cold.pace.Interval)
	if x.Barred(later) != NotBarred {
		t.Fatal("no token after the interval")
	}
	x.cold.list.HeardAt = later.Add(-coldListAge - 1)
	if x.Barred(later) != Cold {
		t.Fatal("a host without control hosts keeps its right")
	}
}

// TestColdTargetGetsRequestsThatCanWait guards against urgent requests that become late on a
// cold target while a warm one will soon have room, and against ones that are refused
// although only cold targets are there.
func TestColdTargetGetsRequestsThatCanWait(t *testing.T) {
	const service = 100 * time.Millisecond
	tight, roomy, late := epoch.Add(50*time.Millisecond), epoch.Add(time.Second), epoch.Add(-time.Second)
	busy := &Target{ID: "busy", Slots: 4, LastLoad: loadSample(4, 0, 1)}
	for _, c := range []struct {
		name    string
		warm    bool
		startBy []time.Time
		want    int // which of the requests gets the cold target, -1: none
	}{
		{"urgent request only", true, []time.Time{tight}, -1},
		{"one that can wait", true, []time.Time{tight, roomy}, 1},
		{"one that is late", true, []time.Time{tight, late}, 1},
		{"last moment", true, []time.Time{epoch.Add(lastChance / 2)}, 0},
		{"all targets are cold", false, []time.Time{tight, roomy}, 0},
	} {
		x := coldTarget("x", epoch.Add(time.Hour))
		list := []*Target{x}
		if c.warm {
			list = append(list, busy)
		}
		s := Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{slowdown: 1, answers: learnedAnswers}}
		got := -1
		for i, by := range c.startBy {
			s.Queue.Enqueue(&Waiter{StartBy: by, GiveUpAt: epoch.Add(time.Hour), ServiceTime: service, Assign: func(*Target) { got = i }}, epoch)
		}
		s.AssignQueued(list, map[*Target]bool{x: true}, epoch)
		if got != c.want || (s.PickFor(&Waiter{}, list, nil, epoch, ToleratesCold(epoch, c.startBy[0], service)) != nil && c.want != -1) {
			t.Errorf("%s: request %d, want %d", c.name, got, c.want)
		}
	}
}

// TestColdEnd checks when a request can first be sent while all targets of its service are
// barred.
func TestColdEnd(t *testing.T) {
	x, y := coldTarget("x", epoch.Add(time.Hour)), coldTarget("y", epoch.Add(time.Second))
	if _, ok := ColdEnd([]*Target{x, y}, epoch); ok {
		t.Error("barred although there are tokens")
	}
	x.BarredToSend(epoch)
	y.cold.sharerSince = time.Time{}
	if end, ok := ColdEnd([]*Target{x, y}, epoch); !ok || !end.Equal(epoch.Add(800*time.Millisecond)) {
		t.Errorf("%v %v, want the next token of x", end, ok)
	}
	x.cold.sharerSince = time.Time{}
	if end, ok := ColdEnd([]*Target{x, y}, epoch); !ok || !end.Equal(epoch.Add(time.Second)) {
		t.Errorf("%v %v, want the end of the cold time of y", end, ok)
	}
	y.AssumeCold(epoch, epoch)
	x.ColdUntil = time.Time{}
	x.AssumeCold(epoch, epoch)
	if end, ok := ColdEnd([]*Target{x, y}, epoch); !ok || !end.IsZero() {
		t.Errorf("%v %v, want no known end", end, ok)
	}
}
