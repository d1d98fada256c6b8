package kqtokens

import (
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestLateRequests guards against an owner beyond its limit whose tokens go to callers that
// come back after a refusal, whose answers are late, in place of new ones.
func TestLateRequests(t *testing.T) {
	o := owner("a", 10, 10)
	b := NewBuckets(testParams)
	b.Set(1, []kqroutes.Owner{o}, 1, testStart)
	at := testStart.Add(time.Hour)
	voter := func(a Ask) (list []Grant) {
		for _, w := range a.Wants {
			list = append(list, b.Take(w, at))
		}
		return list
	}
	now := testStart
	h := newTestHost(Fleet{0, 1})
	if list, _ := settle(h, h.TakeLate(&o, 1, now), now, voter); len(list) != 1 || list[0].Outcome != Granted {
		t.Fatalf("a late request gets no token of a full bucket: %+v", list)
	}
	drain(b, "a", at) // until a request is refused
	at = at.Add(excessTime / 2)
	list, _ := settle(h, h.TakeLate(&o, 2, now), now, voter)
	if len(list) != 1 || list[0].Outcome != Refused || list[0].RetryAfter != maxTurn {
		t.Fatalf("a late request takes a token of an owner beyond its limit: %+v", list)
	}
	if list, _ := settle(h, h.Take(&o, 3, now), now, voter); len(list) != 1 || list[0].Outcome != Granted {
		t.Errorf("a request in time gets none of these tokens: %+v", list)
	}
}

// TestLateRequestsWithoutVoters guards against a late request without a decision when the voter
// that it asked does not answer.
func TestLateRequestsWithoutVoters(t *testing.T) {
	h, o := newTestHost(Fleet{0, 1}), owner("a", 10, 0)
	if list, _ := settle(h, h.TakeLate(&o, 1, testStart), testStart, silence); len(list) != 1 || list[0].ID != 1 {
		t.Errorf("%+v", list)
	}
}
