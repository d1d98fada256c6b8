package kqfeed

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqtargets"

	"github.com/google/go-cmp/cmp"
)

// wire carries messages from a hub to followers, encoded as between processes.
type fakeLink struct {
	sent      int
	encoded   int
	followers map[string]*Follower
}

func (w *fakeLink) Send(peer, kind string, body any) {
	w.sent++
	p, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if f := w.followers[peer]; f != nil {
		if err := f.Receive("c1", kind, p); err != nil {
			panic(err)
		}
	}
}

// message is one that was encoded before.
type encodedMessage struct {
	Kind string
	Body json.RawMessage
}

func (w *fakeLink) Encode(kind string, body any) ([]byte, error) {
	w.encoded++
	p, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(encodedMessage{kind, p})
}

func (w *fakeLink) SendEncoded(peers []string, p []byte) {
	var m encodedMessage
	if err := json.Unmarshal(p, &m); err != nil {
		panic(err)
	}
	for _, peer := range peers {
		w.Send(peer, m.Kind, m.Body)
	}
}

func (w *fakeLink) Call(context.Context, string, string, any, any) error { return nil }
func (w *fakeLink) Up(string) bool                                       { return true }
func (w *fakeLink) Host() string                                         { return "c1" }

func targetChange(id string, rev uint64, state kqtargets.State) kqcontract.Change {
	return kqcontract.Change{Revision: rev, Targets: []kqtargets.Target{{ID: id, Boot: 1, Seq: rev, Service: "kekhai", State: state}}}
}

// TestChangesTravelTogether: many targets that join at once are one message to
// each entry host and one view there, and the last word on a target counts.
func TestChangesAreBatched(t *testing.T) {
	w := &fakeLink{followers: map[string]*Follower{}}
	clock := kqfake.NewClock()
	hub := NewHub(HubConfig{Link: w, Clock: clock, Log: kqlog.Discard()})
	var views []*View
	f := NewFollower(FollowerConfig{
		Link: &fakeLink{}, Clock: kqclock.System{}, Log: kqlog.Discard(), Events: kqevent.NewRecorder("e1", time.Now),
		OnView: func(v *View) { views = append(views, v) },
	})
	f.hub, f.subscribed = "c1", true
	f.view.Store(&View{Revision: 1})
	w.followers["e1"], hub.subscribers["e1"] = f, true

	hub.Push([]kqcontract.Change{
		targetChange("t-1", 2, kqtargets.Ready), targetChange("t-2", 3, kqtargets.Ready), targetChange("t-1", 4, kqtargets.Draining),
		targetChange("t-2", 5, kqtargets.Gone), targetChange("t-3", 6, kqtargets.Ready),
	})
	if w.sent != 1 || len(views) != 1 {
		t.Fatalf("%d messages, %d views", w.sent, len(views))
	}
	want := []kqtargets.Target{targetChange("t-1", 4, kqtargets.Draining).Targets[0], targetChange("t-3", 6, kqtargets.Ready).Targets[0]}
	if diff := cmp.Diff(want, views[0].Targets); diff != "" || views[0].Revision != 6 {
		t.Fatal(views[0].Revision, diff)
	}

	clock.Advance(pushInterval)
	hub.Push([]kqcontract.Change{targetChange("t-4", 8, kqtargets.Ready)}) // one was lost
	if f.subscribed || f.revision() != 6 {
		t.Fatalf("goes on over a gap: joined %v, revision %d", f.subscribed, f.revision())
	}
}

// TestStormOfChanges: changes that come in force one by one share messages; the
// first of them does not wait.
func TestFrequentChangesShareMessages(t *testing.T) {
	const storm, every = 300, time.Millisecond
	w, clock := &fakeLink{followers: map[string]*Follower{}}, kqfake.NewClock()
	hub := NewHub(HubConfig{Link: w, Clock: clock, Log: kqlog.Discard()})
	f := NewFollower(FollowerConfig{
		Link: &fakeLink{}, Clock: clock, Log: kqlog.Discard(), Events: kqevent.NewRecorder("e1", time.Now), OnView: func(*View) {},
	})
	f.hub, f.subscribed = "c1", true
	f.view.Store(&View{Revision: 1})
	w.followers["e1"], hub.subscribers["e1"] = f, true
	clock.Advance(time.Second)
	for i := range uint64(storm) {
		hub.Push([]kqcontract.Change{targetChange("t-1", i+2, kqtargets.Ready)})
		if i == 0 && f.revision() != 2 {
			t.Error("the first change waits")
		}
		clock.Advance(every)
	}
	clock.Advance(pushInterval)
	if f.revision() != storm+1 {
		t.Errorf("in force is %d of %d", f.revision(), storm+1)
	}
	if most := int(storm*every/pushInterval) + 2; w.sent > most {
		t.Errorf("%d messages, at most %d", w.sent, most)
	}
}

// TestSubscribeTime: a host whose view is larger than its link carries in one
// try gets it all the same.
func TestSubscribeTimeoutGrows(t *testing.T) {
	f := NewFollower(FollowerConfig{SubscribeTimeout: 500 * time.Millisecond})
	var got []time.Duration
	for _, failed := range []int{0, triesPerTimeout - 1, triesPerTimeout, 2 * triesPerTimeout, 3 * triesPerTimeout, 100 * triesPerTimeout} {
		f.failedSubscribes = failed
		got = append(got, f.subscribeTimeout())
	}
	ms := time.Millisecond
	if diff := cmp.Diff([]time.Duration{500 * ms, 500 * ms, 1000 * ms, 2000 * ms, 3000 * ms, 3000 * ms}, got); diff != "" {
		t.Fatal(diff)
	}
}
