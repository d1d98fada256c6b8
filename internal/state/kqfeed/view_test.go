package kqfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// fixedSource is a replica whose state only the test changes.
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

// TestConcurrentSubscribersShareEncodedView: after a restart of the whole cluster, 60
// entry hosts subscribe to one control host at once. Encoding a view of 3,000 targets
// for each of them took the control host seconds.
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
		if i%5 == 0 { // the state changes between subscriptions
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

// TestViewAndReplyInAnyOrder: the full view and the subscription reply that announces
// it may arrive in either order, and changes may arrive before both.
func TestViewAndReplyInAnyOrder(t *testing.T) {
	five := uint64(5)
	view := func(rev uint64) *View { return &View{Revision: rev} }
	change := func(rev uint64) []kqcontract.Change {
		return []kqcontract.Change{targetChange("t-1", rev, kqtargets.Ready)}
	}
	cases := []struct {
		name string
		play func(f *Follower, clock *kqfake.Clock)
		want uint64 // revision of the follower's view, 0: none
		ends bool   // the follower gives up the subscription
	}{
		{"reply, view", func(f *Follower, _ *kqfake.Clock) {
			f.receiveReply(subscribeReply{ViewRevision: &five})
			f.receiveView("c1", view(5))
		}, 5, false},
		{"view, reply", func(f *Follower, _ *kqfake.Clock) {
			f.receiveView("c1", view(5))
			f.receiveReply(subscribeReply{ViewRevision: &five})
		}, 5, false},
		{"view of an empty state", func(f *Follower, _ *kqfake.Clock) {
			none := uint64(0)
			f.receiveReply(subscribeReply{ViewRevision: &none})
			f.receiveView("c1", view(0))
			f.receiveChanges("c1", change(1))
		}, 1, false},
		{"reply with changes, further changes, view", func(f *Follower, _ *kqfake.Clock) {
			f.receiveReply(subscribeReply{ViewRevision: &five, Changes: change(6)})
			f.receiveChanges("c1", change(7))
			f.ReceiveConfirmation("c1", confirmation{Revision: 7})
			f.receiveView("c1", view(5))
		}, 7, false},
		{"changes, view, reply", func(f *Follower, _ *kqfake.Clock) {
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
				t.Errorf("revision %d, subscribed %v", f.revision(), f.subscribed)
			}
		})
	}
}

// receiveReply delivers the reply to a subscription.
func (f *Follower) receiveReply(s subscribeReply) {
	f.subscribed = true
	f.applyReply(s)
}

// TestAcceptedKindsReachHosts checks that entry hosts take routes of any kind that the log
// holds, by a full view and by a change, and that a kind they do not know may not run again.
func TestAcceptedKindsReachHosts(t *testing.T) {
	s := kqcontract.NewState()
	doc := kqroutes.Document{Version: 7, Services: []kqroutes.Service{{Name: "kekhai"}}, Hosts: []kqroutes.Host{{Name: "rent.example", Routes: []kqroutes.Route{
		{Name: "r1", Prefix: "/a/", Service: "kekhai", Kind: kqroutes.Download, Timeout: time.Second},
		{Name: "r2", Prefix: "/b/", Service: "kekhai", Kind: "of-another-version", Timeout: time.Second},
	}}}}
	_, change := s.Apply(kqcontract.Command{Op: kqcontract.OpRoutes, Routes: &kqroutes.Proposal{Document: doc}})
	decode := func(from, to any) {
		t.Helper()
		p, err := json.Marshal(from)
		if err == nil {
			err = json.Unmarshal(p, to)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	var full View
	decode(newView(s), &full)
	var received kqcontract.Change
	decode(change, &received)
	changed, err := (View{}).with([]kqcontract.Change{received})
	if err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]View{"full view": full, "change": changed} {
		table := kqroutes.NewTable(v.Routes)
		for path, repeatable := range map[string]bool{"/a/1": true, "/b/1": false} {
			if r, ok := table.Find("rent.example", path); !ok || r.Kind.Repeatable() != repeatable {
				t.Errorf("%s: %s: %+v", name, path, r)
			}
		}
	}
}

// applyingSource is a replica of one host.
type applyingSource struct{ fixedSource }

func (s applyingSource) Submit(_ context.Context, c kqcontract.Command) (kqcontract.Result, error) {
	result, _ := s.state.Apply(c)
	return result, nil
}

// TestLostReplyToNewHost guards against a host that counts as restarted, whose guard would
// refuse keyed calls for ten minutes, since the reply to its first subscription was lost.
func TestLostReplyToNewHost(t *testing.T) {
	hub := NewHub(HubConfig{Link: &fakeLink{}, Clock: kqfake.NewClock(), Log: kqlog.Discard()})
	source := applyingSource{fixedSource{kqcontract.NewState()}}
	hub.source = source
	first := kqcontract.EntryHost{Name: "e1", Domain: "d", Region: "r", Calls: "127.0.0.1:1", Peers: "127.0.0.1:2", Boot: 71}
	moved, restarted, movedTwice, earlierVersion := first, first, first, first
	moved.Calls, restarted.Boot, earlierVersion.Boot = "127.0.0.1:3", 72, 0
	movedTwice.Calls, movedTwice.Boot = "127.0.0.1:4", 72
	for _, c := range []struct {
		name  string
		host  kqcontract.EntryHost
		isNew bool
	}{
		{"reply lost", first, true},
		{"asked again", first, true},
		{"other address, same start", moved, true},
		{"restarted", restarted, false},
		{"restarted at another address", movedTwice, false},
		{"that start once more", movedTwice, false},
		{"host of an earlier version", earlierVersion, false},
	} {
		reply, err := hub.subscribe(t.Context(), "e1", subscription{Host: c.host})
		if err != nil || reply.New != c.isNew {
			t.Errorf("%s: new %v %v, want %v", c.name, reply.New, err, c.isNew)
		}
	}
	if list := source.state.Hosts.Entry; len(list) != 1 || list[0].Boot != first.Boot {
		t.Errorf("listed %+v, want one entry with the start at which it was added", list)
	}
}
