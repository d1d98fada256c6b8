package kqlimitmodel

import "testing"

// TestUsableInEveryFault guards against limits that are not usable: refusals below the limit, an
// owner in excess that gets less than its limit or more than the bound, and messages for it.
func TestUsableInEveryFault(t *testing.T) {
	for _, c := range []struct {
		fault    string
		refused  float64 // most refusals of requests within the limit, as a share of these
		messages float64 // most for each request
	}{
		{"calm", 0.01, 1.1},
		{"surge", 0.15, 0.7},
		{"cut", 0.15, 1.2},
		{"voter", 0.03, 1.3},
		{"restart", 0.15, 1.5},
	} {
		r := Play("shares", c.fault, 1, 1)
		if r.Excess > 0 || float64(r.Refused) > c.refused*float64(r.Requests) || r.Messages > c.messages {
			t.Errorf("%s: %+v", c.fault, r)
		}
		if c.fault == "surge" && r.Used < 0.95 {
			t.Errorf("%.2f of the limit is used while one owner exceeds it", r.Used)
		}
	}
	if r := Play("shares", "surge", 0, 1); r.Used < 0.95 || r.Excess > 0 {
		t.Errorf("without a burst: %+v", r)
	}
}
