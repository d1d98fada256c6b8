package kqfeed

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// FuzzReceive checks that no message of a peer, however malformed, ends a follower, and
// that the follower still applies the next change.
func FuzzReceive(f *testing.F) {
	kinds := []string{MethodChanges, MethodFullView, MethodConfirmation, MethodListeners, MethodControls}
	for i := range kinds {
		for _, body := range []string{
			`{}`, `null`, `[]`, strings.Repeat(`{"list":[`, 12000), `{"rev":1e400}`, "\xff",
			`{"list":[{"revision":3,"routes":{}}]}`, `{"list":[{"revision":2,"routes":{"base":7}}]}`, `{"list":[{"revision":2,"owner":"a"}]}`,
			`{"list":[{"revision":18446744073709551615}]}`, `{"list":[{"revision":2,"targets":[{"id":"","slots":9e18}]}]}`,
			`{"revision":9,"hosts":null}`, `{"revision":9,"targets":[{"id":"a"},{"id":"a"}]}`, `{"opened":[{}],"closed":[{}]}`,
		} {
			f.Add(i, []byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, kind int, body []byte) {
		if kind < 0 || kind >= len(kinds) {
			return
		}
		var last *View
		w := NewFollower(FollowerConfig{
			Link: &fakeLink{}, Clock: kqclock.System{}, Log: kqlog.Discard(), Events: kqevent.NewRecorder("e1", time.Now),
			OnView: func(v *View) { last = v }, OnControls: func([]ControlHost) {},
		})
		w.hub, w.subscribed = "c1", true
		w.view.Store(&View{Revision: 1, Routes: &kqroutes.Document{Version: 1}, Targets: []kqtargets.Target{{ID: "t-1", State: kqtargets.Ready}}})
		_ = w.Receive("c1", kinds[kind], body) // an error is logged by the caller
		next, err := json.Marshal(changes{[]kqcontract.Change{targetChange("t-2", w.revision()+1, kqtargets.Ready)}})
		if err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		w.subscribed, w.awaitedRevision, w.pendingChanges = true, nil, nil
		known := w.view.Load() != nil
		w.mu.Unlock()
		if err := w.Receive("c1", MethodChanges, next); err != nil {
			t.Fatal(err)
		}
		if known && last == nil {
			t.Fatal("the next change is not applied")
		}
	})
}
