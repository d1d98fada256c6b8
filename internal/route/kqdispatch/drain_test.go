package kqdispatch

import (
	"testing"

	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqcontract"
)

// TestQueuedCallAvoidsDrainingTarget guards against calls that reach a target long after it
// began to drain, because a call that ends there frees a slot for a queued one.
func TestQueuedCallAvoidsDrainingTarget(t *testing.T) {
	const leaving, staying = "t0", "t1"
	h := newHarness(t, 2)
	h.grant("o", func(_ *kqcontract.Service, s *Share) { s.Queue = 100 })
	h.warm()
	running := map[string][]uint64{} // attempts by target
	queued := 0
	for range 30 {
		_, effects := h.arrive("o", true)
		s, ok := started(effects)
		if !ok {
			queued++
			continue
		}
		running[s.Target.ID] = append(running[s.Target.ID], s.Attempt)
	}
	if len(running[leaving]) == 0 || len(running[staying]) == 0 || queued < len(running[leaving])+len(running[staying]) {
		t.Fatalf("running %v, queued %d: want calls at both targets, and more in the queue", running, queued)
	}
	h.target(0, kqdirectory.Draining)
	end := func(target string) (starts int) {
		for _, attempt := range running[target] {
			h.feed(AttemptReplied{Attempt: attempt, Outcome: Answered})
			s, ok := started(h.feed(AttemptEnded{attempt}))
			if ok && s.Target.ID == leaving {
				t.Errorf("a queued call was started at the draining target when a call at %s ended", target)
			}
			if ok {
				starts++
			}
		}
		return starts
	}
	end(leaving)
	if starts := end(staying); starts == 0 {
		t.Error("no queued call was started at the target that stays")
	}
}
