package kqfeed

import (
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
)

// TestStateAge guards against a host that takes an old state for the newest one and answers
// 401 for a new key: one that waits for an announced view, or was frozen.
func TestStateAge(t *testing.T) {
	const interval = 400 * time.Millisecond
	start := func() (*Follower, *kqfake.Clock) {
		clock := kqfake.NewClock()
		f := NewFollower(FollowerConfig{Link: &fakeLink{}, Clock: clock, Log: kqlog.Discard(), Events: kqevent.NewRecorder("e1", time.Now), OnView: func(*View) {}})
		f.hub = "c1"
		return f, clock
	}
	// subscribe applies the reply to a subscription that took 100 ms.
	subscribe := func(f *Follower, clock *kqfake.Clock, reply subscribeReply) {
		startedAt := clock.Now()
		clock.Advance(100 * time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.subscribed, f.subscribedAt, f.lastHeard = true, startedAt, clock.Now()
		f.applyReply(reply)
		f.recordSubscribed()
	}
	check := func(t *testing.T, f *Follower, want time.Duration) {
		t.Helper()
		if got := f.StateAge(); got != want {
			t.Errorf("the state is %v old, want %v", got, want)
		}
	}
	revision := uint64(7)
	t.Run("no state yet", func(t *testing.T) {
		f, _ := start()
		if f.StateAge() < time.Hour {
			t.Error("a host without a state takes it for new")
		}
	})
	t.Run("subscribed", func(t *testing.T) {
		f, clock := start()
		subscribe(f, clock, subscribeReply{View: &View{Revision: 7}})
		check(t, f, 100*time.Millisecond)
		for range 10 {
			clock.Advance(interval)
			f.ReceiveConfirmation("c1", confirmation{7})
			check(t, f, 0)
		}
		clock.Advance(time.Second)
		check(t, f, time.Second)
	})
	t.Run("the control host confirms slowly", func(t *testing.T) {
		f, clock := start()
		subscribe(f, clock, subscribeReply{View: &View{Revision: 7}})
		for range 20 {
			clock.Advance(2 * interval)
			f.ReceiveConfirmation("c1", confirmation{7})
			check(t, f, 0)
		}
	})
	t.Run("the announced view has not arrived", func(t *testing.T) {
		f, clock := start()
		subscribe(f, clock, subscribeReply{View: &View{Revision: 6}})
		subscribe(f, clock, subscribeReply{ViewRevision: &revision})
		clock.Advance(interval)
		f.ReceiveConfirmation("c1", confirmation{7})
		check(t, f, 200*time.Millisecond+interval)
		f.receiveView("c1", &View{Revision: 7})
		check(t, f, 100*time.Millisecond+interval)
	})
	t.Run("a change is missing", func(t *testing.T) {
		f, clock := start()
		subscribe(f, clock, subscribeReply{View: &View{Revision: 6}})
		clock.Advance(interval)
		f.ReceiveConfirmation("c1", confirmation{7})
		check(t, f, 100*time.Millisecond+interval)
	})
	t.Run("frozen", func(t *testing.T) {
		f, clock := start()
		subscribe(f, clock, subscribeReply{View: &View{Revision: 6}})
		const frozen = 4 * time.Second
		clock.Advance(frozen)
		for sent := interval; sent < frozen-interval; sent += interval {
			f.ReceiveConfirmation("c1", confirmation{6})
			if f.StateAge() < frozen-sent-(sent/interval+1)*(confirmationStep-interval) {
				t.Fatalf("the state is %v old after the confirmation that was sent %v ago", f.StateAge(), frozen-sent)
			}
		}
		f.receiveChanges("c1", []kqcontract.Change{{Revision: 7}})
		for range 3 {
			f.ReceiveConfirmation("c1", confirmation{7})
			clock.Advance(interval)
		}
		if f.StateAge() > 2*interval {
			t.Errorf("the state is still %v old", f.StateAge())
		}
	})
}
