package kqdaemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/state/kqcontrol"
)

// TestKeysOverAllHosts guards against entry hosts that learn late of a new or withdrawn key,
// refuse a key that they may not know yet, or hold or show keys.
func TestKeysOverAllHosts(t *testing.T) {
	f := newFleet(t)
	var owner atomic.Value
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			owner.Store(r.Header.Get(kqproxy.DefaultHeaderNames.Owner) + r.Header.Get("Authorization"))
		}
		w.Header().Set(kqproxy.DefaultHeaderNames.Load, "0,0,4,100")
		w.Header().Set(kqproxy.DefaultHeaderNames.RequestID, r.Header.Get(kqproxy.DefaultHeaderNames.RequestID))
		w.Header().Set(kqproxy.DefaultHeaderNames.Seal, "sealed")
	}))
	defer target.Close()
	for i := range 3 {
		f.start(control(i), true)
	}
	for i := range 2 {
		f.start(entry(i), true)
	}
	f.voters(3)
	withOwners := func(version int, owners string) string {
		return strings.TrimSuffix(routes(version, "/filings/"), "}") + `, "owners": ` + owners + "}"
	}
	call := func(host int, key string) int {
		status, _ := f.send("POST", f.at(entry(host), 0), "/filings/1", "filing", "Authorization", "Bearer "+key, kqproxy.DefaultHeaderNames.RequestID, "id-1")
		return status
	}
	expect := func(status int, key string) {
		t.Helper()
		for host := range 2 {
			f.eventually(fmt.Sprintf("%d for %s", status, key), func() string {
				if got := call(host, key); got != status {
					return fmt.Sprint(got)
				}
				return ""
			})
		}
	}
	f.want(200, "PUT", f.at(control(0), 1), "/v1/routes", withOwners(1, `[{"name": "acme", "keys": ["secret-1"]}]`))
	f.want(200, "POST", f.at(control(1), 4), "/v1/targets", fmt.Sprintf(`{"service":"kekhai","id":"kekhai-1","addr":%q,"domain":"a","slots":4,"state":"ready","boot":1,"seq":1}`,
		strings.TrimPrefix(target.URL, "http://")))
	expect(200, "secret-1")
	if owner.Load() != "acme" {
		t.Errorf("the target got %q, want the owner's name alone", owner.Load())
	}
	expect(401, "secret-2")

	f.want(200, "PUT", f.at(control(1), 1), "/v1/routes", withOwners(2, `[{"name": "acme", "keys": ["secret-2"], "rate": 10}, {"name": "small", "keys": ["secret-3"]}]`))
	changed := time.Now()
	expect(401, "secret-1")
	expect(200, "secret-2")
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("the change of keys was in force after %v", took)
	}

	for name, d := range f.hosts {
		for _, path := range []string{"/v1/owners", "/v1/status?all=1", "/v1/events?all=1", "/v1/metrics", "/v1/routes/history"} {
			if status, text := f.send("GET", f.at(name, 1), path, ""); status != 200 || strings.Contains(text, "secret-") {
				t.Errorf("%s of %s: %d %s", path, name, status, text)
			}
		}
		if d.follower == nil {
			continue
		}
		if p, err := json.Marshal(d.follower.LatestView()); err != nil || strings.Contains(string(p), "secret-") {
			t.Errorf("the view of %s contains a key: %v", name, err)
		}
	}
	if doc, err := f.hosts[control(0)].localStore.Read(t.Context(), kqcontrol.Query{RouteLog: true}); err != nil || doc.Routes != nil || len(doc.RouteLog) != 2 {
		t.Errorf("the history that an entry host reads holds the routes or lacks a version: %v %+v", err, doc)
	}
	if _, text := f.send("GET", f.at(entry(0), 1), "/v1/owners", ""); !strings.Contains(text, `"name":"acme","rate":10`) || strings.Contains(text, `"unknown":0`) {
		t.Errorf("owners of an entry host: %s", text)
	}

	for i := range 3 {
		f.stop(control(i))
	}
	expect(503, "secret-1") // it may have been added again
	expect(200, "secret-2")
}
