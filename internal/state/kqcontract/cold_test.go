package kqcontract

import (
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// TestColdAgainReachesHosts checks that a target that becomes cold again is a change of the
// state, so that all hosts learn of it, if its service has a cold rate and only then.
func TestColdAgainReachesHosts(t *testing.T) {
	for _, rate := range []float64{0, 2.5} {
		s := NewState()
		at := time.UnixMilli(1_764_843_130_000)
		doc := kqroutes.Document{Version: 1, Services: []kqroutes.Service{{Name: "kekhai", ColdRate: rate}}}
		s.Apply(Command{Op: OpRoutes, Time: at, Routes: &kqroutes.Proposal{Document: doc}})
		announce := func(seq uint64, cold time.Duration, after time.Duration) *Change {
			_, change := s.Apply(Command{Op: OpTarget, Time: at.Add(after), Target: &kqtargets.Target{
				ID: "a", Boot: at.UnixMilli(), Seq: seq, Service: "kekhai", Addr: "10.0.0.1:80", Slots: 2, State: kqtargets.Ready, ColdRemaining: cold,
			}})
			return change
		}
		if announce(1, 20*time.Second, 0) == nil || announce(2, 10*time.Second, 10*time.Second) != nil {
			t.Fatalf("rate %v: want a change for the start, and none for a countdown", rate)
		}
		change := announce(3, 20*time.Second, time.Minute)
		if (change != nil) != (rate > 0) {
			t.Errorf("rate %v: cold again: %+v", rate, change)
		}
		if change != nil && (len(change.Targets) != 1 || !change.Targets[0].ColdEnd().Equal(at.Add(80*time.Second))) {
			t.Errorf("rate %v: %+v", rate, change.Targets)
		}
	}
}
