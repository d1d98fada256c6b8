package kqdispatch

import (
	"testing"

	"kumquatglade/internal/route/kqdirectory"
)

// TestCallOutlivesSilentTarget guards against a call that is started elsewhere, or given
// up, because its target only announced itself late: it may well be running.
func TestCallOutlivesSilentTarget(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, 2)
		id, effects := h.arrive("o", idempotent)
		s, ok := started(effects)
		if !ok {
			t.Fatal("no attempt was started")
		}
		for i := range 2 {
			if s.Target.ID != []string{"t0", "t1"}[i] {
				continue
			}
			for _, state := range []kqdirectory.State{kqdirectory.Gone, kqdirectory.Ready} {
				h.target(i, state)
			}
			if effects := h.feed(TargetUpdated{kqdirectory.Record{
				Service: "s", ID: s.Target.ID, Addr: "127.0.0.1:1", Domain: "a", Slots: 4, Connections: 100, State: kqdirectory.Gone, Epoch: 1, Seq: 9,
			}}); len(effects) != 0 {
				t.Errorf("idempotent %v: the silence of the target has effects on its calls: %v", idempotent, effects)
			}
		}
		effects = h.feed(AttemptReplied{Attempt: s.Attempt, Outcome: Answered})
		if _, again := started(effects); again || len(effects) == 0 || effects[0].Call() != id {
			t.Errorf("idempotent %v: the answer of the silent target is not the call's: %v", idempotent, effects)
		}
	}
}
