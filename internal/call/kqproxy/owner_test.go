package kqproxy

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqroutes"

	"github.com/rcrowley/go-metrics"
)

// owners returns owners with the keys NAME-key, and the given ones.
func owners(names ...string) []kqroutes.Owner {
	var list []kqroutes.Owner
	for _, n := range names {
		list = append(list, kqroutes.Owner{Name: n, Keys: []kqroutes.KeyDigest{kqroutes.DigestKey(n + "-key")}})
	}
	return list
}

// setOwners puts a new version of the document in force.
func (f *fixture) setOwners(list ...kqroutes.Owner) {
	f.change(func(d *kqroutes.Document) { d.Owners = list })
}

func (f *fixture) change(change func(d *kqroutes.Document)) {
	doc := *f.doc
	doc.Version++
	doc.Hosts = []kqroutes.Host{{Name: doc.Hosts[0].Name, Routes: slices.Clone(doc.Hosts[0].Routes)}}
	change(&doc)
	f.doc = &doc
	f.apply(doc.Version, f.targets...)
}

func (f *fixture) setStateAge(age time.Duration) {
	f.engine.cfg.StateAge = func() time.Duration { return age }
}

// TestKeys guards against requests that run without a valid key, with the name of another
// owner, or that show their key to a target.
func TestKeys(t *testing.T) {
	const own = "Kumquat-Owner"
	cases := []struct {
		name   string
		header []string // pairs of names and values
		open   bool
		status int
		owner  string // that the target gets
		cause  string // by which the refusal is counted
	}{
		{"valid", []string{"Authorization", "Bearer a-key"}, false, 200, "a", ""},
		{"valid, with the name of another owner", []string{"Authorization", "Bearer a-key", own, "b", own, "c"}, false, 200, "a", ""},
		{"valid, with the field named by Connection", []string{"Authorization", "Bearer b-key", "Connection", "Authorization, " + own}, false, 200, "b", ""},
		{"missing", nil, false, 401, "", causeKeyMissing},
		{"missing, with the name of an owner", []string{own, "a"}, false, 401, "", causeKeyMissing},
		{"empty", []string{"Authorization", ""}, false, 401, "", causeKeyMalformed},
		{"only the scheme", []string{"Authorization", "Bearer "}, false, 401, "", causeKeyMalformed},
		{"no scheme", []string{"Authorization", "a-key"}, false, 401, "", causeKeyMalformed},
		{"other scheme", []string{"Authorization", "Token a-key"}, false, 401, "", causeKeyMalformed},
		{"scheme without a space", []string{"Authorization", "Bearera-key"}, false, 401, "", causeKeyMalformed},
		{"two spaces", []string{"Authorization", "Bearer  a-key"}, false, 401, "", causeKeyMalformed},
		{"repeated field", []string{"Authorization", "Bearer a-key", "Authorization", "Bearer a-key"}, false, 401, "", causeKeyMalformed},
		{"huge", []string{"Authorization", "Bearer " + strings.Repeat("k", kqroutes.MaxKey+1)}, false, 401, "", causeKeyMalformed},
		{"unknown", []string{"Authorization", "Bearer c-key"}, false, 401, "", causeKeyUnknown},
		{"beginning of a key", []string{"Authorization", "Bearer a-ke"}, false, 401, "", causeKeyUnknown},
		{"bytes that are no text", []string{"Authorization", "Bearer \xff\xfe"}, false, 401, "", causeKeyUnknown},
		{"digest in place of the key", []string{"Authorization", "Bearer " + string(kqroutes.DigestKey("a-key"))}, false, 401, "", causeKeyUnknown},
		{"open route", []string{own, "a"}, true, 200, "", ""},
		{"open route, with a key", []string{"Authorization", "Bearer a-key", own, "b"}, true, 200, "", ""},
		{"open route, with an unknown key", []string{"Authorization", "Bearer c-key"}, true, 200, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
			f.change(func(d *kqroutes.Document) { d.Owners, d.Hosts[0].Routes[0].Open = owners("a", "b"), c.open })
			r := httptest.NewRequest(http.MethodPost, "http://index.example/filings/1", strings.NewReader("filing"))
			r.Header.Set(DefaultHeaderNames.RequestID, "id-1")
			for i := 0; i+1 < len(c.header); i += 2 {
				r.Header[c.header[i]] = append(r.Header[c.header[i]], c.header[i+1])
			}
			w := httptest.NewRecorder()
			f.engine.ServeHTTP(w, r)
			if w.Code != c.status || (w.Header().Get("WWW-Authenticate") == "Bearer") != (c.status == 401) {
				t.Fatalf("status %d, header %v, want %d", w.Code, w.Header(), c.status)
			}
			for cause, counter := range f.engine.metrics.key {
				if (counter.Count() == 1) != (cause == c.cause) {
					t.Errorf("%q is counted %d times", cause, counter.Count())
				}
			}
			if c.status != 200 {
				if f.arrivals() != 0 {
					t.Error("the refused request was sent")
				}
				return
			}
			got := f.fakeTargets[0].lastRequest.Load().Header
			if name := strings.Join(got[own], ","); name != c.owner {
				t.Errorf("the target gets owner %q, want %q", name, c.owner)
			}
			if !c.open && got["Authorization"] != nil {
				t.Error("the target gets the key")
			}
		})
	}
}

// TestEmptyListOfOwners guards against requests without a key once the last owner is gone: an
// empty list of owners has no valid key, while a document without a list needs none.
func TestEmptyListOfOwners(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	f.setOwners(owners("a")...)
	f.change(func(d *kqroutes.Document) { d.Owners, d.Keyed = nil, true })
	for _, header := range [][]string{nil, {"Authorization", "Bearer a-key"}} {
		if res, _, err := f.call("/filings/1", "filing", header...); err != nil || res.StatusCode != 401 || f.arrivals() != 0 {
			t.Errorf("%q: %v %v after %d arrivals, want 401 after none", header, res, err, f.arrivals())
		}
	}
	f.change(func(d *kqroutes.Document) { d.Hosts[0].Routes[0].Open = true })
	if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != 200 {
		t.Errorf("%v %v on an open route, want 200", res, err)
	}
	f.change(func(d *kqroutes.Document) { d.Hosts[0].Routes[0].Open, d.Keyed = false, false })
	if res, _, err := f.call("/filings/1", "filing"); err != nil || res.StatusCode != 200 {
		t.Errorf("%v %v without a list of owners, want 200", res, err)
	}
}

// TestNoOwners guards documents without owners: requests pass as before, with all their fields.
func TestNoOwners(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	f.setStateAge(time.Hour)
	if res, _, err := f.call("/filings/1", "filing", "Authorization", "Basic x", "Kumquat-Owner", "me"); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	if h := f.fakeTargets[0].lastRequest.Load().Header; h.Get("Authorization") != "Basic x" || h.Get("Kumquat-Owner") != "me" {
		t.Errorf("the target gets %v", h)
	}
	s := f.engine.routing.Load()
	p := &proxiedRequest{engine: f.engine, in: httptest.NewRequest(http.MethodGet, "/filings/1", nil), requestSpec: requestSpec{routing: s, route: &f.doc.Hosts[0].Routes[0]}}
	n := testing.AllocsPerRun(100, func() {
		if p.authorize() != nil || p.keyChange(s.table) != "" || p.allows() != nil {
			t.Fatal("the request is restricted")
		}
	})
	if n != 0 {
		t.Errorf("%v allocations for each request", n)
	}
}

// TestOldStateRefusesNoKey guards against 401 for a new key on a host that is behind: it
// answers 503, and serves the keys that it knows.
func TestOldStateRefusesNoKey(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		key    string
		status int
	}{
		{maxStateAge, "Bearer new", 401},
		{maxStateAge + time.Millisecond, "Bearer new", 503},
		{time.Hour, "", 503},
		{time.Hour, "Bearer", 503},
		{time.Hour, "Bearer a-key", 200},
	} {
		t.Run(fmt.Sprint(c.age, c.key), func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
			f.setOwners(owners("a")...)
			f.setStateAge(c.age)
			res, _, err := f.call("/filings/1", "filing", "Authorization", c.key)
			if err != nil || res.StatusCode != c.status {
				t.Fatal(res, err)
			}
			if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); (err == nil) != (c.status == 503) || after > 1 {
				t.Errorf("Retry-After %q", res.Header.Get("Retry-After"))
			}
			if n := f.engine.metrics.key[causeStateOld].Count(); (n == 1) != (c.status == 503) {
				t.Errorf("%d counted as refused because of an old state", n)
			}
		})
	}
}

// TestOwnerPriority checks that an owner's priority takes precedence over that of the route.
func TestOwnerPriority(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	urgent, list := 0, owners("a", "b")
	list[0].Priority = &urgent
	f.change(func(d *kqroutes.Document) { d.Owners, d.Hosts[0].Routes[0].Priority = list, 3 })
	for key, want := range map[string]int{"a-key": 0, "b-key": 3} {
		if p := f.authorized(t, key); p.priority != want {
			t.Errorf("%s: priority %d, want %d", key, p.priority, want)
		}
	}
}

// authorized returns a request that has passed the stages up to its body.
func (f *fixture) authorized(t *testing.T, key string) *proxiedRequest {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "http://index.example/filings/1", nil)
	r.Header.Set("Authorization", "Bearer "+key)
	p := &proxiedRequest{engine: f.engine, w: httptest.NewRecorder(), in: r}
	p.started = time.Now()
	for _, stage := range []func() *refusal{p.classify, p.authorize} {
		if refused := stage(); refused != nil {
			t.Fatal(refused)
		}
	}
	return p
}

// movedKey returns the owners a and b after the key of a has moved to b.
func movedKey() []kqroutes.Owner {
	list := owners("a", "b")
	list[0].Keys, list[1].Keys = nil, append(list[1].Keys, list[0].Keys...)
	return list
}

// TestWithdrawnKey guards against requests that are sent, or wait, after their key was
// withdrawn.
func TestWithdrawnKey(t *testing.T) {
	for name, list := range map[string][]kqroutes.Owner{"withdrawn": owners("b"), "moved, then withdrawn": nil} {
		if list == nil {
			list = movedKey()
			list[1].Keys = list[1].Keys[:1]
		}
		t.Run(name+"/queued", func(t *testing.T) {
			f := newFixtureWithObjective(t, kqroutes.Unsafe, 5*time.Second, 4*time.Second, replyOK)
			f.setOwners(owners("a", "b")...)
			f.fakeTargets[0].setLoad("4,0,4,100")
			results := map[string]chan int{"a-key": make(chan int, 1), "b-key": make(chan int, 1)}
			for key, status := range results {
				go func() {
					res, _, err := f.call("/filings/1", "filing", "Authorization", "Bearer "+key)
					if err != nil {
						t.Error(err)
						status <- 0
						return
					}
					status <- res.StatusCode
				}()
			}
			waitFor(t, "both requests are queued", func() bool { return f.queueLen("kekhai") == 2 })
			f.setOwners(list...)
			if n := f.queueLen("kekhai"); n != 1 {
				t.Errorf("%d requests are queued after the change, want 1", n)
			}
			if got := <-results["a-key"]; got != 401 || f.arrivals() != 0 {
				t.Errorf("status %d, %d arrivals, want 401 and none", got, f.arrivals())
			}
			f.fakeTargets[0].setLoad("0,0,4,100")
			if got := <-results["b-key"]; got != 200 {
				t.Errorf("status %d for the other owner's request", got)
			}
			if n := f.engine.metrics.key[causeKeyWithdrawn].Count(); n != 1 || len(f.engine.queued) != 0 {
				t.Errorf("%d counted, %d requests left", n, len(f.engine.queued))
			}
		})
		t.Run(name+"/before the first byte", func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
			f.setOwners(owners("a", "b")...)
			p := f.authorized(t, "a-key")
			p.chosen, _ = p.choose(t.Context(), nil)
			f.setOwners(list...)
			if out, answered := p.attempt(t.Context(), p.chosen.Target); answered || !out.unsent || f.arrivals() != 0 {
				t.Errorf("answered %v, %+v, %d arrivals, want an unsent request", answered, out, f.arrivals())
			}
			p.send(t.Context())
			if code := p.w.(*httptest.ResponseRecorder).Code; code != 401 || f.arrivals() != 0 {
				t.Errorf("status %d, %d arrivals, want 401 and none", code, f.arrivals())
			}
		})
	}
	t.Run("between two attempts", func(t *testing.T) {
		var f *fixture
		refuse := replyWith(func(r *http.Request) string {
			f.setOwners(owners("b")...)
			return replyHead(r, "503 Full", DefaultHeaderNames.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
		}, true)
		f = newFixture(t, kqroutes.Unsafe, time.Second, refuse, refuse)
		f.setOwners(owners("a", "b")...)
		if res, _, err := f.call("/filings/1", "filing", "Authorization", "Bearer a-key"); err != nil || res.StatusCode != 401 || f.arrivals() != 1 {
			t.Errorf("%v %v after %d arrivals, want 401 after 1", res, err, f.arrivals())
		}
	})
	t.Run("between two attempts, the first may have run", func(t *testing.T) {
		var f *fixture
		fail := func(c net.Conn, r *http.Request) bool {
			f.setOwners(owners("b")...)
			return resetConn(c, r)
		}
		f = newFixture(t, kqroutes.Safe, time.Second, fail, fail)
		f.setOwners(owners("a", "b")...)
		if res, _, err := f.call("/filings/1", "filing", "Authorization", "Bearer a-key"); err != nil || res.StatusCode != 502 || f.arrivals() != 1 {
			t.Errorf("%v %v after %d arrivals, want 502 after 1", res, err, f.arrivals())
		}
	})
	t.Run("in flight", func(t *testing.T) {
		var f *fixture
		f = newFixture(t, kqroutes.Unsafe, time.Second, replyWith(func(r *http.Request) string {
			f.setOwners(owners("b")...)
			return replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole")
		}, true))
		f.setOwners(owners("a", "b")...)
		if res, _, err := f.call("/filings/1", "filing", "Authorization", "Bearer a-key"); err != nil || res.StatusCode != 200 {
			t.Errorf("%v %v, want the target's response", res, err)
		}
	})
}

// TestOwnerIsLogged checks that the outcome of a request names its owner, and never its key.
func TestOwnerIsLogged(t *testing.T) {
	for _, withOwners := range []bool{true, false} {
		var out bytes.Buffer
		f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
		f.engine.cfg.Log = kqlog.To(&out)
		if withOwners {
			f.setOwners(owners("a")...)
		}
		for _, key := range []string{"a-key", "wrong-key"} {
			r := httptest.NewRequest(http.MethodPost, "http://index.example/filings/1", nil)
			r.Header.Set("Authorization", "Bearer "+key)
			f.engine.ServeHTTP(httptest.NewRecorder(), r)
		}
		var metricsText bytes.Buffer
		metrics.WriteJSONOnce(f.engine.cfg.Metrics, &metricsText)
		if log := out.String(); strings.Contains(log, `"owner":"a"`) != withOwners || strings.Contains(log+metricsText.String(), "-key") {
			t.Errorf("with owners %v: %s", withOwners, log)
		}
	}
}

// TestManyOwners guards the time to find an owner when there are thousands.
func TestManyOwners(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	var names []string
	for i := range 20000 {
		names = append(names, fmt.Sprint("owner-", i))
	}
	f.setOwners(owners(names...)...)
	started := time.Now()
	for _, n := range names[:1000] {
		if p := f.authorized(t, n+"-key"); p.owner.Name != n {
			t.Fatalf("owner %s, want %s", p.owner.Name, n)
		}
	}
	if took := time.Since(started) / 1000; took > time.Millisecond {
		t.Errorf("%v for each request", took)
	}
}
