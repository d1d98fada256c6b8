package kqfeed

import (
	"context"
	"encoding/json"
	"strings"
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

// fakeLink delivers a hub's messages to followers at once, encoded as between processes.
type fakeLink struct {
	sent      int
	encoded   int
	receiving bool // a message is arriving
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

// encodedMessage is a message as Encode writes it.
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
func (w *fakeLink) Receiving(string) bool                                { return w.receiving }
func (w *fakeLink) Host() string                                         { return "c1" }

func targetChange(id string, rev uint64, state kqtargets.State) kqcontract.Change {
	return kqcontract.Change{Revision: rev, Targets: []kqtargets.Target{{ID: id, Boot: 1, Seq: rev, Service: "kekhai", State: state}}}
}

// TestChangesAreBatched: many targets that join at once cause one message to each
// entry host and one view there, which holds the last change of each target.
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
	hub.Push([]kqcontract.Change{targetChange("t-4", 8, kqtargets.Ready)}) // revision 7 was lost
	if f.subscribed || f.revision() != 6 {
		t.Fatalf("follower ignores a gap: subscribed %v, revision %d", f.subscribed, f.revision())
	}
}

// TestFrequentChangesShareMessages: changes that follow each other closely share
// messages; the first of them is sent without delay.
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
			t.Error("the first change is delayed")
		}
		clock.Advance(every)
	}
	clock.Advance(pushInterval)
	if f.revision() != storm+1 {
		t.Errorf("follower is at revision %d of %d", f.revision(), storm+1)
	}
	if most := int(storm*every/pushInterval) + 2; w.sent > most {
		t.Errorf("%d messages, at most %d", w.sent, most)
	}
}

// TestSubscribeTimeoutGrows: a host whose full view takes longer on its link than the
// first timeout allows must get it in a later attempt.
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

// TestNextCheck guards against a host that acts on an old view for longer than it must:
// a silent control host is to be noticed when its last confirmation becomes stale.
func TestNextCheck(t *testing.T) {
	const staleAfter, ms = 1100 * time.Millisecond, time.Millisecond
	clock := kqfake.NewClock()
	cases := []struct {
		name       string
		subscribed bool
		age        time.Duration // of the last confirmation
		want       time.Duration
	}{
		{"no subscription", false, 0, searchInterval},
		{"confirmed just now", true, 0, checkInterval},
		{"stale after the next check", true, staleAfter - 251*ms, checkInterval},
		{"stale before the next check", true, staleAfter - 50*ms, 51 * ms},
		{"stale now", true, staleAfter, ms},
		{"stale for a while", true, 2 * staleAfter, ms},
	}
	for _, c := range cases {
		f := NewFollower(FollowerConfig{Link: &fakeLink{}, Clock: clock, StaleAfter: staleAfter})
		f.subscribed, f.lastHeard = c.subscribed, clock.Now().Add(-c.age)
		if got := f.nextCheckDelay(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFirstSubscriptionIsPatient guards against a host that gives up a control host which
// only waits for a leader, so that several views compete for its slow link.
func TestFirstSubscriptionIsPatient(t *testing.T) {
	f := NewFollower(FollowerConfig{
		Link: &fakeLink{}, Clock: kqclock.System{}, Log: kqlog.Discard(), Events: kqevent.NewRecorder("e1", time.Now),
		SubscribeTimeout: 500 * time.Millisecond, FirstTimeout: 1300 * time.Millisecond,
	})
	if got := f.subscribeTimeout(); got != 1300*time.Millisecond {
		t.Errorf("%v without a view, want 1.3 s", got)
	}
	f.view.Store(&View{Revision: 1})
	if got := f.subscribeTimeout(); got != 500*time.Millisecond {
		t.Errorf("%v with a view, want 500 ms: changes must be in force within two seconds", got)
	}
}

// TestStaysWhileReceiving guards against a host that leaves its control host while a large
// document of it is arriving over a slow link: the next one would send the same again.
func TestStaysWhileReceiving(t *testing.T) {
	for _, receiving := range []bool{true, false} {
		link := &fakeLink{receiving: receiving}
		f := NewFollower(FollowerConfig{
			Link: link, Clock: kqclock.System{}, Log: kqlog.Discard(), Events: kqevent.NewRecorder("e1", time.Now),
			Controls: func() []ControlHost { return []ControlHost{{Host: "c1"}, {Host: "c2"}} }, StaleAfter: time.Second,
		})
		f.view.Store(&View{Revision: 1})
		silentSince := func(d time.Duration) string {
			f.hub, f.subscribed, f.lastHeard = "c1", true, time.Now().Add(-d)
			f.ensureSubscribed()
			return f.hub
		}
		want := map[bool]string{true: "c1", false: "c2"}[receiving]
		if got := silentSince(1500 * time.Millisecond); got != want {
			t.Errorf("receiving %v: subscribed to %s, want %s", receiving, got, want)
		}
		if got := silentSince(2 * maxTransfer); got != "c2" {
			t.Errorf("receiving %v for too long: subscribed to %s, want c2", receiving, got)
		}
	}
}

// TestEvacuationsInViews checks that entry hosts learn of evacuations and of their ends by
// changes and by full views, and that a view without any is encoded as before.
func TestEvacuationsInViews(t *testing.T) {
	s := kqcontract.NewState()
	order := func(domain string, on bool) kqcontract.Change {
		entry := s.Evacuation(domain)
		_, c := s.Apply(kqcontract.Command{
			Op: kqcontract.OpEvacuate, Evacuate: &kqcontract.EvacuationOrder{Domain: domain, On: on, Revision: entry.Revision}, Time: time.Unix(1, 0).UTC(),
		})
		return *c
	}
	w := &fakeLink{followers: map[string]*Follower{}}
	events := kqevent.NewRecorder("e1", time.Now)
	f := NewFollower(FollowerConfig{Link: &fakeLink{}, Clock: kqclock.System{}, Log: kqlog.Discard(), Events: events, OnView: func(*View) {}})
	f.hub, f.subscribed = "c1", true
	w.followers["e1"] = f
	f.view.Store(&View{})
	check := func(step string, want ...string) {
		t.Helper()
		full := newView(s)
		if diff := cmp.Diff(want, f.LatestView().EvacuatedDomains()); diff != "" || f.revision() != s.Revision {
			t.Errorf("%s: revision %d: %s", step, f.revision(), diff)
		}
		if diff := cmp.Diff(full.Evacuations, f.LatestView().Evacuations); diff != "" {
			t.Errorf("%s: the full view differs: %s", step, diff)
		}
	}
	if p, err := json.Marshal(newView(s)); err != nil || strings.Contains(string(p), "evacuat") {
		t.Errorf("view without an evacuation: %v %s", err, p)
	}
	w.Send("e1", MethodChanges, changes{[]kqcontract.Change{order("a", true), order("b", true)}})
	check("two orders in one message", "a", "b")
	w.Send("e1", MethodChanges, changes{[]kqcontract.Change{order("a", false)}})
	check("one end", "b")
	_, other := s.Apply(targetCommand(1))
	w.Send("e1", MethodChanges, changes{[]kqcontract.Change{*other}})
	check("another change", "b")
	w.Send("e1", MethodChanges, changes{[]kqcontract.Change{order("b", false)}})
	check("all ended")
	var kinds []string
	list, _ := events.Since(kqevent.Timestamp{})
	for _, e := range list {
		if strings.HasPrefix(e.Text, "domain ") {
			kinds = append(kinds, e.Kind+" "+e.Text)
		}
	}
	if diff := cmp.Diff([]string{"evacuated domain a", "evacuated domain b", "restored domain a", "restored domain b"}, kinds); diff != "" {
		t.Error(diff)
	}
}
