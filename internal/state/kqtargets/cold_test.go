package kqtargets

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// coldRenewal is the seq-th announcement of target a, which names the remaining cold time.
func coldRenewal(seq uint64, cold time.Duration) Target {
	a := announcement("a", now.UnixMilli(), seq, Ready, "10.0.0.1:80")
	a.ColdRemaining, a.ColdLimited = cold, true
	return a
}

// TestCountingDownIsNoChange guards against log entries, and against stored bytes, for
// targets that only count down after their start.
func TestCountingDownIsNoChange(t *testing.T) {
	for _, delay := range []time.Duration{0, 200 * time.Millisecond, 3 * time.Second} {
		s := NewSet()
		at := now.Add(delay)
		s.Apply(coldRenewal(1, 20*time.Second-delay), at)
		for i := range 30 {
			d := time.Duration(i) * time.Second
			late := time.Duration(i%3) * 100 * time.Millisecond
			if s.IsChange(coldRenewal(uint64(i)+2, max(20*time.Second-delay-d, 0)), at.Add(d+late)) {
				t.Errorf("announced %v after the start: renewal %d is a change", delay, i)
			}
		}
		p, err := json.Marshal(s.Targets["a"])
		if stored := strings.Contains(string(p), "coldAt"); err != nil || stored != (delay > coldAtTolerance) {
			t.Errorf("announced %v after the start: %s %v", delay, p, err)
		}
	}
}

// TestColdAgainIsChange guards against hosts that take a target for warm which has become
// cold again, as after an evacuation of its failure domain.
func TestColdAgainIsChange(t *testing.T) {
	s := NewSet()
	s.Apply(coldRenewal(1, 20*time.Second), now)
	at := now.Add(time.Minute)
	if got := s.Apply(coldRenewal(60, 20*time.Second), at); len(got) != 1 || !got[0].ColdEnd().Equal(at.Add(20*time.Second)) {
		t.Fatalf("%+v, want cold until 20 s later", got)
	}
	if s.IsChange(coldRenewal(61, 0), at.Add(time.Second)) {
		t.Error("a renewal without cold time is a change")
	}
	s = NewSet()
	s.Apply(coldRenewal(1, 0), now)
	if !s.IsChange(coldRenewal(2, 20*time.Second), now.Add(time.Second)) {
		t.Error("a target that started warm and became cold is no change")
	}
}

// TestColdAgainWithoutRate guards against log entries and stored bytes for services that have
// no cold rate.
func TestColdAgainWithoutRate(t *testing.T) {
	s := NewSet()
	a, b := coldRenewal(1, 20*time.Second), coldRenewal(60, 20*time.Second)
	a.ColdLimited, b.ColdLimited = false, false
	s.Apply(a, now.Add(3*time.Second))
	p, err := json.Marshal(s.Targets["a"])
	if err != nil || strings.Contains(string(p), "coldAt") || s.IsChange(b, now.Add(time.Minute)) {
		t.Errorf("%s %v", p, err)
	}
}

// TestColdRenewalsAreBounded guards against a target that adds an entry to the log with
// each heartbeat because the cold time that it names does not fall.
func TestColdRenewalsAreBounded(t *testing.T) {
	const heartbeats = 120
	for _, cold := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 20 * time.Second, maxCold} {
		s := NewSet()
		changes, unknown := 0, 0
		for i := range heartbeats {
			at := now.Add(time.Duration(i) * time.Second)
			changes += len(s.Apply(coldRenewal(uint64(i)+1, cold), at))
			if cold > coldMargin+minColdInterval && !s.Targets["a"].ColdEnd().After(at) {
				unknown++
			}
		}
		if most := heartbeats/int(minColdInterval.Seconds()) + 1; changes > most || unknown > 0 {
			t.Errorf("cold for %v: %d changes in %d heartbeats, want at most %d; not known to be cold at %d", cold, changes, heartbeats, most, unknown)
		}
	}
}
