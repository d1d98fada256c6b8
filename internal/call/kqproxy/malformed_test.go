package kqproxy

import (
	"testing"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"
)

// TestMalformedProbeAnswer guards against the load and the terms in a malformed answer to a
// probe, which may be those of another target, and against a field that is overlooked since
// its name is malformed.
func TestMalformedProbeAnswer(t *testing.T) {
	names := DefaultHeaderNames
	const noBody = "Content-Length: 0\r\n\r\n"
	load := names.Load + ": 0,0,4,100\r\n"
	terms := load + names.Leaving + ": 1\r\nRetry-After: 9\r\n" + names.Cold + ": 9000\r\n"
	for name, raw := range map[string]string{
		"status that is none, response behind it": "HTTP/1.1 000 Broken\r\n" + noBody + "HTTP/1.1 200 OK\r\n" + terms + noBody,
		"status 600":                   "HTTP/1.1 600 Broken\r\n" + terms + noBody,
		"field name with a blank":      "HTTP/1.1 200 OK\r\nX Own: 1\r\n" + terms + noBody,
		"quiet, field name":            "HTTP/1.1 503 Full\r\nX Own: 1\r\n" + terms + noBody,
		"another target, overlooked":   "HTTP/1.1 200 OK\r\n" + names.Instance + " : t9\r\n" + load + noBody,
		"no load, the name has blanks": "HTTP/1.1 200 OK\r\n" + names.Load + " : 0,0,4,100\r\n" + terms + noBody,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Safe, time.Second, replyOK)
			f.doc.Services[0].ColdRate = 1
			f.apply(2, f.targets...)
			target := f.engine.routing.Load().targets["kekhai"][0]
			f.fakeTargets[0].probeReply.Store(&raw)
			if f.engine.probe(t.Context(), target, "/health", 4, time.Second) {
				t.Error("the probe was answered")
			}
			f.engine.mu.Lock()
			defer f.engine.mu.Unlock()
			now := time.Now()
			if reason := target.Barred(now); reason != kqselection.NotBarred || target.Informed(now) || target.IsCold(now) {
				t.Errorf("barred: %q, load: %+v, cold: %t", reason, target.LastLoad, target.IsCold(now))
			}
		})
	}
	f := newFixture(t, kqroutes.Safe, time.Second, replyOK)
	if target := f.engine.routing.Load().targets["kekhai"][0]; !f.engine.probe(t.Context(), target, "/health", 4, time.Second) {
		t.Error("a probe that is answered well was not")
	}
}
