package kqproxy

import (
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"
)

// TestLeastCost guards against urgent requests that find no target while less urgent ones
// fill them: with one target that has room, an urgent request is answered, and a less
// urgent one is refused without being run, and told when to come back.
func TestLeastCost(t *testing.T) {
	for _, mixed := range []bool{true, false} {
		f := newFixture(t, kqroutes.Safe, 3*time.Second, replyOK, replyOK, replyOK, replyOK, replyOK, replyOK)
		doc := *f.doc
		urgent := doc.Hosts[0].Routes[0]
		patient := urgent
		patient.Name, patient.Prefix = "r2", "/maps/"
		if mixed {
			patient.Priority = 2
		}
		doc.Hosts = []kqroutes.Host{{Name: doc.Hosts[0].Name, Routes: []kqroutes.Route{urgent, patient}}}
		f.engine.Apply(2, &doc, f.targets, nil)
		for _, fake := range f.fakeTargets[1:] {
			fake.setLoad("4,0,4,100")
		}
		for range 5 {
			if res, _, err := f.call("/filings/1", "", DefaultHeaderNames.Deadline, "3000"); err != nil || res.StatusCode != http.StatusOK {
				t.Fatal(res, err)
			}
		}
		res, body, err := f.call("/maps/1", "", DefaultHeaderNames.Deadline, "3000")
		if err != nil {
			t.Fatal(err)
		}
		if !mixed {
			if res.StatusCode != http.StatusOK {
				t.Errorf("requests do not differ in priority: %d %s", res.StatusCode, body)
			}
			continue
		}
		if res.StatusCode != http.StatusServiceUnavailable || body != causeLeastCost+"\n" || res.Header.Get("Retry-After") == "" {
			t.Errorf("less urgent request: %d %q, Retry-After %q", res.StatusCode, body, res.Header.Get("Retry-After"))
		}
	}
}

// TestMixedPriorities checks for which services requests may differ in priority.
func TestMixedPriorities(t *testing.T) {
	route := func(service string, priority int) kqroutes.Route {
		return kqroutes.Route{Service: service, Priority: priority}
	}
	split := kqroutes.Route{Priority: 1, Split: []kqroutes.WeightedService{{Service: "c"}, {Service: "d"}}}
	doc := &kqroutes.Document{Hosts: []kqroutes.Host{
		{Routes: []kqroutes.Route{route("a", 0), route("b", 1), route("c", 0)}},
		{Routes: []kqroutes.Route{route("a", 2), route("b", 1), split}},
	}}
	got := mixedPriorities(doc)
	for service, want := range map[string]bool{"a": true, "b": false, "c": true, "d": false} {
		if got[service] != want {
			t.Errorf("service %s: %v", service, got[service])
		}
	}
}

// TestProbesIdleConnectionsFirst guards against a new connection for each request while
// idle ones to other targets of the service are open.
func TestProbesIdleConnectionsFirst(t *testing.T) {
	for _, mixed := range []bool{true, false} {
		var responders []responder
		for range 24 {
			responders = append(responders, replyOK)
		}
		f := newFixture(t, kqroutes.Safe, 3*time.Second, responders...)
		doc := *f.doc
		routes := []kqroutes.Route{doc.Hosts[0].Routes[0], doc.Hosts[0].Routes[0]}
		routes[1].Prefix = "/maps/"
		if mixed {
			routes[1].Priority = 2
		}
		doc.Hosts = []kqroutes.Host{{Name: doc.Hosts[0].Name, Routes: routes}}
		f.engine.Apply(2, &doc, f.targets, nil)
		for range 12 {
			if res, _, err := f.call("/filings/1", ""); err != nil || res.StatusCode != http.StatusOK {
				t.Fatal(res, err)
			}
			time.Sleep(2 * kqselection.QueueProbeInterval) // reports are not used again
		}
		open := 0
		for _, fake := range f.fakeTargets {
			open += min(f.engine.pool.OpenConns(fake.listener.Addr().String()), 1)
		}
		t.Logf("requests differ in priority %v: connections to %d targets", mixed, open)
		if limit := kqselection.MaxProbes + 2; mixed && open > limit {
			t.Errorf("connections to %d targets, want at most %d", open, limit)
		}
	}
}
