package kqdaemon

import (
	"encoding/json"
	"testing"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqfeed"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// TestMessagesEndNoProcess guards against a message that takes the whole process down: one
// for another kind of system (it panicked before), and one that no component can handle.
func TestMessagesEndNoProcess(t *testing.T) {
	d := &Daemon{log: kqlog.Discard(), metrics: metrics.NewRegistry(), ready: make(chan struct{})}
	d.markReady()
	d.hub = kqfeed.NewHub(kqfeed.HubConfig{Log: d.log}) // a control host with a fixed list of control hosts
	r := receiver{d}
	r.Receive("e1", kqfeed.MethodPresence, json.RawMessage(`{"host":{"name":"e1"},"ready":true}`))
	if n := metrics.GetOrRegisterCounter("peers.panics", d.metrics).Count(); n != 0 {
		t.Errorf("%d panics at the presence of an entry host", n)
	}
	err := r.contain(func() error {
		var none map[string]int
		none["a"] = 1
		return nil
	})
	if err == nil || metrics.GetOrRegisterCounter("peers.panics", d.metrics).Count() != 1 {
		t.Errorf("%v, want an error and one panic counted", err)
	}
	if want := errors.New("refused"); !errors.Is(r.contain(func() error { return want }), want) {
		t.Error("an error is not passed on")
	}
}
