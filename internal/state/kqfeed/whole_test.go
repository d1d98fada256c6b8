package kqfeed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqtargets"
)

// fixedSource is a replica whose state does not change by itself.
type fixedSource struct{ state *kqcontract.State }

func (s fixedSource) Confirm(context.Context) error        { return nil }
func (s fixedSource) ConfirmLazily(context.Context) error  { return nil }
func (s fixedSource) View(f func(*kqcontract.State)) error { f(s.state); return nil }
func (s fixedSource) Submit(context.Context, kqcontract.Command) (kqcontract.Result, error) {
	return kqcontract.Result{}, nil
}

func targetCommand(i int) kqcontract.Command {
	t := kqtargets.Target{
		ID: fmt.Sprintf("t-%d", i), Boot: 1, Seq: 1, Service: "kekhai", Addr: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250), State: kqtargets.Ready,
	}
	return kqcontract.Command{Op: kqcontract.OpTarget, Target: &t}
}

// TestHostsThatComeTogetherShareOneView: after a restart of everything 60 entry
// hosts follow one control host at once. Encoding 3,000 targets for each of them
// took it seconds.
func TestConcurrentSubscribersShareEncodedView(t *testing.T) {
	const hosts, targets, mostViews = 60, 300, 3
	source := fixedSource{kqcontract.NewState()}
	clock := kqfake.NewClock()
	w := &fakeLink{followers: map[string]*Follower{}}
	hub := NewHub(HubConfig{Link: w, Clock: clock, Log: kqlog.Discard(), Unlisted: true})
	hub.source = source
	for i := range targets {
		_, change := source.state.Apply(targetCommand(i))
		hub.Push([]kqcontract.Change{*change})
	}
	for i := range hosts {
		name := fmt.Sprintf("e%d", i)
		f := NewFollower(FollowerConfig{
			Host: kqcontract.EntryHost{Name: name}, Link: &fakeLink{}, Clock: clock, Log: kqlog.Discard(),
			Events: kqevent.NewRecorder(name, time.Now), OnView: func(*View) {},
		})
		f.hub = "c1"
		w.followers[name] = f
		answer, err := hub.subscribe(t.Context(), name, subscription{Host: kqcontract.EntryHost{Name: name}})
		if err != nil {
			t.Fatal(err)
		}
		f.subscribed = true
		f.applyReply(answer)
		if i%5 == 0 { // something changes meanwhile
			_, change := source.state.Apply(targetCommand(targets + i))
			hub.Push([]kqcontract.Change{*change})
			clock.Advance(pushInterval)
		}
	}
	clock.Advance(pushInterval)
	for name, f := range w.followers {
		if v := f.LatestView(); v == nil || v.Revision != source.state.Revision || len(v.Targets) != targets+hosts/5 {
			t.Fatalf("%s holds %+v", name, v)
		}
	}
	if n := w.encoded - hosts/5; n > mostViews+1 {
		t.Errorf("%d views encoded for %d hosts", n, hosts)
	}
}

// TestWholeView: the view and the answer that tells of it may overtake each
// other, and changes may come before both.
func TestViewAndReplyInAnyOrder(t *testing.T) {
	five := uint64(5)
	view := func(rev uint64) *View { return &View{Revision: rev} }
	change := func(rev uint64) []kqcontract.Change {
		return []kqcontract.Change{targetChange("t-1", rev, kqtargets.Ready)}
	}
	cases := []struct {
		name string
		play func(f *Follower, clock *kqfake.Clock)
		want uint64 // revision in force, 0: none
		ends bool   // the subscription is given up
	}{
		{"answer, view", func(f *Follower, _ *kqfake.Clock) {
			f.receiveReply(subscribeReply{ViewRevision: &five})
			f.receiveView("c1", view(5))
		}, 5, false},
		{"view, answer", func(f *Follower, _ *kqfake.Clock) {
			f.receiveView("c1", view(5))
			f.receiveReply(subscribeReply{ViewRevision: &five})
		}, 5, false},
		{"a view of nothing yet", func(f *Follower, _ *kqfake.Clock) {
			none := uint64(0)
			f.receiveReply(subscribeReply{ViewRevision: &none})
			f.receiveView("c1", view(0))
			f.receiveChanges("c1", change(1))
		}, 1, false},
		{"answer with changes, further changes, view", func(f *Follower, _ *kqfake.Clock) {
			f.receiveReply(subscribeReply{ViewRevision: &five, Changes: change(6)})
			f.receiveChanges("c1", change(7))
			f.ReceiveConfirmation("c1", confirmation{Revision: 7})
			f.receiveView("c1", view(5))
		}, 7, false},
		{"changes, view, answer", func(f *Follower, _ *kqfake.Clock) {
			f.receiveChanges("c1", change(6))
			f.receiveView("c1", view(5))
			f.receiveReply(subscribeReply{ViewRevision: &five})
		}, 6, false},
		{"view of an earlier subscription", func(f *Follower, _ *kqfake.Clock) {
			f.receiveView("c1", view(3))
			f.receiveReply(subscribeReply{ViewRevision: &five})
		}, 0, false},
		{"view of another control host", func(f *Follower, _ *kqfake.Clock) {
			f.receiveReply(subscribeReply{ViewRevision: &five})
			f.receiveView("c2", view(5))
		}, 0, false},
		{"lost view", func(f *Follower, clock *kqfake.Clock) {
			f.receiveReply(subscribeReply{ViewRevision: &five})
			clock.Advance(time.Second)
			f.ensureSubscribed()
		}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := kqfake.NewClock()
			f := NewFollower(FollowerConfig{
				Controls: func() []ControlHost { return nil }, Link: &fakeLink{}, Clock: clock, Log: kqlog.Discard(),
				Events: kqevent.NewRecorder("e1", time.Now), OnView: func(*View) {}, SubscribeTimeout: 500 * time.Millisecond,
			})
			f.hub = "c1"
			c.play(f, clock)
			if f.revision() != c.want || f.subscribed == c.ends {
				t.Errorf("in force %d, joined %v", f.revision(), f.subscribed)
			}
		})
	}
}

// answer takes the answer to a subscription.
func (f *Follower) receiveReply(s subscribeReply) {
	f.subscribed = true
	f.applyReply(s)
}
