package kqsoak

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/call/kqresponse"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// cutAfter returns the end of the connection of a request, that long after it was sent.
func cutAfter(d time.Duration) Cut {
	sent := time.Unix(1, 0)
	return Cut{Sent: sent, At: sent.Add(d), Err: io.EOF}
}

// TestLedger checks that each violated guarantee is recorded and a kept one is not.
func TestLedger(t *testing.T) {
	epoch := time.Unix(1, 0)
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	cases := []struct {
		name string
		play func(l *Ledger)
		want string // part of the only violation, empty: none
	}{
		{"answered", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Answered("a", 200, true, true) }, ""},
		{"ran twice", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Ran("a", "u", epoch) }, "ran 2 times"},
		{"may run twice", func(l *Ledger) { l.Sent("a", false); l.Ran("a", "t", epoch); l.Ran("a", "u", epoch) }, ""},
		{"refused after it ran", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Answered("a", 503, true, false) }, "had run"},
		{"ran after it was refused", func(l *Ledger) { l.Sent("a", true); l.Answered("a", 429, true, false); l.Ran("a", "t", epoch) }, "and ran at t"},
		{"unknown after it ran", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Answered("a", 502, true, false) }, ""},
		{"broken off after it ran", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Answered("a", 200, false, false) }, ""},
		{"answer of another request", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Answered("a", 200, true, false) }, "not the whole answer"},
		{"success out of nothing", func(l *Ledger) { l.Sent("a", true); l.Answered("a", 200, true, true) }, "did not run"},
		{"nobody sent it", func(l *Ledger) { l.Ran("a", "t", epoch) }, "no caller sent"},
		{"work just after a leave", func(l *Ledger) { l.Sent("a", true); l.Left("t", epoch); l.Ran("a", "t", at(drainBound)) }, ""},
		{"work long after a leave", func(l *Ledger) { l.Sent("a", true); l.Left("t", epoch); l.Ran("a", "t", at(drainBound+1)) }, "after its leave"},
		{"read in time", func(l *Ledger) { l.Accepted(3, epoch); l.Read("h", 2, at(applyBound-1)) }, ""},
		{"read of old routes", func(l *Ledger) { l.Accepted(3, epoch); l.Accepted(2, epoch); l.Read("h", 2, at(applyBound)) }, "showed routes 2, though 3"},
		{"cut after it ran", func(l *Ledger) {
			l.SetPlanned(true)
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Cut("a", cutAfter(0))
		}, "passed on: true"},
		{"cut long after it was sent", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Cut("a", cutAfter(lossSlack+1)) }, "passed on: false"},
		{"crossed the close", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Cut("a", cutAfter(lossSlack)) }, ""},
		{"cut by an unplanned fault", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Cut("a", cutAfter(time.Second)) }, ""},
		{"malformed response", func(l *Ledger) {
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Cut("a", Cut{At: epoch, Err: errors.Wrap(kqresponse.ErrMalformed, "call")})
		}, "malformed response"},
		{"ended before it was whole", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Cut("a", Cut{At: at(time.Second)}) }, ""},
		{"passed on and never known to be whole", func(l *Ledger) {
			l.SetPlanned(true)
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Cut("a", Cut{At: at(time.Second)})
		}, "passed on: true"},
		{"cut just before the timeout of its route", func(l *Ledger) {
			l.SetPlanned(true)
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Cut("a", cutAfter(routeTimeout-1))
		}, "passed on: true"},
		{"cut at the timeout of its route", func(l *Ledger) {
			l.SetPlanned(true)
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Cut("a", cutAfter(routeTimeout))
		}, ""},
		{"dropped, though its time was over", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Cut("a", cutAfter(routeTimeout)) }, "passed on: false"},
		{"cut at the timeout, counted from its beginning", func(l *Ledger) {
			l.SetPlanned(true)
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Cut("a", Cut{Began: epoch, At: at(routeTimeout)})
		}, ""},
		{"says the way and the time since the signal", func(l *Ledger) {
			l.SetPlanned(true)
			l.SentIn(WayExpect, "a", true)
			l.Signalled("h", at(-time.Second))
			l.Cut("a", Cut{Addr: "h", Sent: epoch, At: at(time.Second)})
		}, "a (POST that waits for 100) was cut 1s after it was sent, 2s after the last signal"},
		{"tried all", func(l *Ledger) { l.SentIn(WayGet, "a", false); l.Signalled("h", epoch); l.CheckWays([]Way{WayGet}) }, ""},
		{"a way was not tried", func(l *Ledger) {
			l.SentIn(WayGet, "a", false)
			l.Signalled("h", epoch)
			l.CheckWays([]Way{WayGet, WayHead})
		}, "nothing was sent in the way"},
		{"no stop was tried", func(l *Ledger) { l.SentIn(WayGet, "a", false); l.CheckWays([]Way{WayGet}) }, "told to stop"},
		{"answered in place of the target", func(l *Ledger) {
			l.SetPlanned(true)
			l.Sent("a", true)
			l.Ran("a", "t", epoch)
			l.Answered("a", 502, true, false)
		}, "answered 502"},
		{"did not come back", func(l *Ledger) { l.AddViolation("host %s", "e1") }, "host e1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger()
			c.play(l)
			_, got := l.Result()
			switch {
			case c.want == "" && len(got) > 0, c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)):
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}

// TestWayCounts checks that each outcome is counted with the way in which its request was sent,
// so that the counts of a way add up.
func TestWayCounts(t *testing.T) {
	l := NewLedger()
	l.SetPlanned(true)
	for i, end := range []func(id string){
		func(id string) { l.Ran(id, "t", time.Unix(1, 0)); l.Answered(id, 200, true, true) },
		func(id string) { l.Answered(id, 503, true, false) },
		func(id string) { l.Answered(id, 504, true, false) },
		func(id string) { l.Cut(id, cutAfter(0)) },
		func(id string) { l.Cut(id, cutAfter(time.Second)) },
	} {
		id := fmt.Sprint(i)
		l.SentIn(WaySlow, id, true)
		end(id)
	}
	want := WayCounts{Sent: 5, Answered: 1, Refused: 1, Failed: 1, Crossed: 1, Lost: 1}
	counts, lost := l.ByWay()
	if diff := cmp.Diff(want, counts[WaySlow]); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"4"}, lost); diff != "" {
		t.Error(diff)
	}
}
