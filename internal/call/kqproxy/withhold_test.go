package kqproxy

import (
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"

	"github.com/google/go-cmp/cmp"
)

// TestKeyStaysHidden guards against targets that are shown a key because the request needs none:
// its route is open, or the owners are gone. What is not a key reaches the target as sent.
func TestKeyStaysHidden(t *testing.T) {
	open := func(d *kqroutes.Document) { d.Owners, d.Hosts[0].Routes[0].Open = owners("a"), true }
	issued := func(d *kqroutes.Document) { d.KeysIssued = true }
	documents := []struct {
		name   string
		change func(*kqroutes.Document)
		keyed  bool // by the settings
	}{
		{"open route", open, false},
		{"owners are gone", issued, false},
		{"no owners yet", func(*kqroutes.Document) {}, true},
	}
	cases := []struct {
		name       string
		sent, seen []string // values of Authorization
	}{
		{"key in force", []string{"Bearer a-key"}, nil},
		{"key not known here", []string{"Bearer withdrawn"}, nil},
		{"scheme in other letters", []string{"bEARER a-key"}, nil},
		{"white space", []string{"Bearer\t \ta-key"}, nil},
		{"only the scheme", []string{"Bearer"}, nil},
		{"repeated field", []string{"Bearer a-key", "Bearer b-key"}, nil},
		{"beside other credentials", []string{"Basic dXNlcg==", "Bearer a-key", "Digest username=x"}, []string{"Basic dXNlcg==", "Digest username=x"}},
		{"joined by an intermediary", []string{"Basic dXNlcg==,Bearer a-key"}, nil},
		{"other credentials", []string{"Basic dXNlcg=="}, []string{"Basic dXNlcg=="}},
		{"longer scheme", []string{"Bearers x"}, []string{"Bearers x"}},
		{"scheme inside a value", []string{"Digest realm=\"the Bearer\", uri=/"}, []string{"Digest realm=\"the Bearer\", uri=/"}},
		{"none", nil, nil},
	}
	for _, d := range documents {
		for _, c := range cases {
			t.Run(d.name+"/"+c.name, func(t *testing.T) {
				f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
				f.engine.cfg.Keyed = d.keyed
				f.change(d.change)
				header := []string{"Kumquat-Owner", "a"}
				for _, v := range c.sent {
					header = append(header, "authorization", v)
				}
				if res, _, err := f.callAdding("/filings/1", "filing", header...); err != nil || res.StatusCode != 200 {
					t.Fatal(res, err)
				}
				got := f.fakeTargets[0].lastRequest.Load().Header
				if diff := cmp.Diff(c.seen, got["Authorization"]); diff != "" {
					t.Error(diff)
				}
				if got["Kumquat-Owner"] != nil {
					t.Errorf("the target gets the owner %q, which the caller set", got["Kumquat-Owner"])
				}
				if n := f.engine.metrics.keyWithheld.Count(); (n == 1) == cmp.Equal(c.sent, c.seen) {
					t.Errorf("%d sends counted", n)
				}
			})
		}
	}
}

// callAdding is like call, but keeps fields that are repeated, and the case of their names.
func (f *fixture) callAdding(path, body string, more ...string) (*http.Response, string, error) {
	req, err := f.newRequest(path, body)
	if err != nil {
		return nil, "", err
	}
	for i := 0; i+1 < len(more); i += 2 {
		req.Header[more[i]] = append(req.Header[more[i]], more[i+1])
	}
	return f.do(req)
}

// TestKeyStaysHiddenAfterChange guards against the key of a request that waits, or is sent
// again, while its route is opened, or the first owners are listed.
func TestKeyStaysHiddenAfterChange(t *testing.T) {
	open := func(d *kqroutes.Document) { d.Owners, d.Hosts[0].Routes[0].Open = owners("a"), true }
	closed := func(d *kqroutes.Document) { d.Owners = owners("a") }
	for name, changes := range map[string][2]func(*kqroutes.Document){
		"opened":       {closed, open},
		"closed":       {open, closed},
		"first owners": {func(*kqroutes.Document) {}, closed},
		"last owners":  {open, func(d *kqroutes.Document) { d.Owners = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
			f.change(changes[0])
			p := f.authorized(t, "a-key")
			f.change(changes[1])
			p.send(t.Context())
			if f.arrivals() != 1 {
				t.Fatalf("%d arrivals", f.arrivals())
			}
			if got := f.fakeTargets[0].lastRequest.Load().Header["Authorization"]; got != nil {
				t.Errorf("the target gets %q", got)
			}
		})
	}
}

// FuzzMayBeKey guards against a form of Authorization that is taken as a key where one is
// needed, and passed on where none is.
func FuzzMayBeKey(f *testing.F) {
	e := &Engine{cfg: Config{HeaderNames: DefaultHeaderNames}}
	for _, v := range []string{"Bearer a-key", "bearer  a", "Bearer \u00a0k", "Bearer,k", "Basic x, Bearer a", "Bearer\x00 k", ""} {
		f.Add(v)
	}
	f.Fuzz(func(t *testing.T, value string) {
		if _, cause := parseKey([]string{value}, DefaultHeaderNames.KeyScheme); cause == "" && !e.mayBeKey(value) {
			t.Errorf("%q is a key and would be passed on", value)
		}
	})
}
