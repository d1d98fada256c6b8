package kqsoak

import (
	"io"
	"strings"
	"testing"
	"time"
)

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
		{"cut after it ran", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Ran("a", "t", epoch); l.Cut("a", 0, io.EOF) }, "passed on: true"},
		{"cut long after it was sent", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Cut("a", lossSlack+1, io.EOF) }, "passed on: false"},
		{"crossed the close", func(l *Ledger) { l.SetPlanned(true); l.Sent("a", true); l.Cut("a", lossSlack, io.EOF) }, ""},
		{"cut by an unplanned fault", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "t", epoch); l.Cut("a", time.Second, io.EOF) }, ""},
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
