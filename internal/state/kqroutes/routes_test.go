package kqroutes

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func sampleDocument(version uint64) *Document {
	return &Document{
		Version:  version,
		Services: []Service{{Name: "chiso", Health: "/health", Connections: 220}, {Name: "kekhai"}},
		Limits:   Limits{Header: 16 << 10, Body: 1 << 20},
		Hosts: []Host{
			{Name: "index.example", Routes: []Route{
				{Name: "r1", Prefix: "/", Service: "chiso", Kind: Safe, Attempts: 2, Timeout: time.Second},
				{Name: "r2", Prefix: "/filings/", Kind: Unsafe, Attempts: 2, Timeout: time.Second, Split: []WeightedService{{"kekhai", 90}, {"chiso", 10}}},
			}},
			{Name: "other.example", Routes: []Route{{Name: "r3", Prefix: "/a/", Service: "kekhai", Kind: Upload, Timeout: time.Second}}},
		},
	}
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*Document)
		valid bool
	}{
		{"unchanged", func(*Document) {}, true},
		{"all weights 0", func(d *Document) { d.Hosts[0].Routes[1].Split[0].Weight, d.Hosts[0].Routes[1].Split[1].Weight = 0, 0 }, true},
		{"unknown service", func(d *Document) { d.Hosts[0].Routes[0].Service = "nobody" }, false},
		{"unknown service in a split", func(d *Document) { d.Hosts[0].Routes[1].Split[1].Service = "nobody" }, false},
		{"no service", func(d *Document) { d.Hosts[0].Routes[0].Service = "" }, false},
		{"service and split", func(d *Document) { d.Hosts[0].Routes[1].Service = "chiso" }, false},
		{"weight below 0", func(d *Document) { d.Hosts[0].Routes[1].Split[0].Weight = -1 }, false},
		{"weight is NaN", func(d *Document) { d.Hosts[0].Routes[1].Split[0].Weight = math.NaN() }, false},
		// A route without a timeout once was accepted and broke a rule in two simulated days.
		{"timeout 0", func(d *Document) { d.Hosts[0].Routes[1].Timeout = 0 }, false},
		{"too long a timeout", func(d *Document) { d.Hosts[0].Routes[1].Timeout = MaxTimeout + 1 }, false},
		{"download", func(d *Document) { d.Hosts[0].Routes[0].Kind = Download }, true},
		{"unknown kind", func(d *Document) { d.Hosts[0].Routes[1].Kind = "maybe" }, false},
		{"prefix without a leading slash", func(d *Document) { d.Hosts[0].Routes[1].Prefix = "filings/" }, false},
		{"host without a name", func(d *Document) { d.Hosts[1].Name = "" }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := sampleDocument(1)
			c.spoil(d)
			if err := d.Validate(); (err == nil) != c.valid {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// TestKindsThatMayRunAgain guards the promise that only requests whose kind says so are
// sent to a second target after they may have run.
func TestKindsThatMayRunAgain(t *testing.T) {
	want := map[Kind]bool{Safe: true, Download: true, Unsafe: false, Upload: false, "maybe": false}
	for kind, repeatable := range want {
		if kind.Repeatable() != repeatable {
			t.Errorf("kind %q: repeatable %v, want %v", kind, kind.Repeatable(), repeatable)
		}
	}
}

func TestFind(t *testing.T) {
	table := NewTable(sampleDocument(1))
	cases := []struct{ host, path, route string }{
		{"index.example", "/x", "r1"},
		{"INDEX.example", "/filings/7", "r2"},
		{"index.example:8080", "/filings/7", ""},
		{"index.example", "/filings", "r1"},
		{"other.example", "/b", ""},
		{"nobody.example", "/", ""},
	}
	for _, c := range cases {
		r, ok := table.Find(c.host, c.path)
		if ok != (c.route != "") || ok && r.Name != c.route {
			t.Errorf("%s%s: got %+v", c.host, c.path, r)
		}
	}
}

// TestHostInOtherLetters guards against a route that hides another one, of another kind, from
// the entry hosts but not from the operator: all must find the first route of the document with
// the host and prefix, in whatever letters the host is written.
func TestHostInOtherLetters(t *testing.T) {
	d := sampleDocument(1)
	shadowed := Route{Name: "r4", Prefix: "/filings/", Service: "chiso", Kind: Safe, Attempts: 2, Timeout: time.Second}
	d.Hosts = append(d.Hosts, Host{Name: "INDEX.example", Routes: []Route{shadowed}})
	received, _ := (*Document)(nil).With(d.Diff(nil))
	for name, doc := range map[string]*Document{"document": d, "entry host": received} {
		if r, ok := NewTable(doc).Find("index.example", "/filings/7"); !ok || r.Name != "r2" {
			t.Errorf("%s: got %+v", name, r)
		}
	}
	next := sampleDocument(2)
	next.Hosts[0].Name = "Index.Example"
	changed, ok := received.With(next.Diff(d))
	if !ok {
		t.Fatal("the next version does not follow")
	}
	if r, ok := NewTable(changed).Find("index.example", "/filings/7"); !ok || r.Name != "r2" {
		t.Errorf("after a change of letters: got %+v", r)
	}
	if list := next.Changes(d); len(list) != 0 {
		t.Errorf("changes %q, want none", list)
	}
}

// TestSplitMatchesWeights: each service of a split gets requests in proportion to its
// weight.
func TestSplitMatchesWeights(t *testing.T) {
	r := sampleDocument(1).Hosts[0].Routes[1]
	rng := rand.New(rand.NewPCG(1, 2))
	const n = 20000
	count := map[string]int{}
	for range n {
		count[r.PickService(rng.Float64())]++
	}
	if share := float64(count["kekhai"]) / n; math.Abs(share-0.9) > 0.01 {
		t.Fatalf("share %.3f of 0.9", share)
	}
}

// TestDeltaChain: applying the deltas of a random chain of documents, one after the
// other, gives the last document.
func TestDeltaChain(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var have *Document
	var last *Document
	for v := uint64(1); v < 300; v += 1 + rng.Uint64N(3) {
		d := sampleDocument(v)
		for i := range d.Hosts[0].Routes {
			d.Hosts[0].Routes[i].Timeout += time.Duration(rng.IntN(3)) * time.Second
		}
		if rng.IntN(2) == 0 {
			d.Hosts = d.Hosts[:1]
		}
		if rng.IntN(3) == 0 {
			d.Limits.Body = int64(rng.IntN(2))
		}
		next, ok := have.With(d.Diff(last))
		if !ok {
			t.Fatalf("version %d does not follow", v)
		}
		want, _ := (*Document)(nil).With(d.Diff(nil))
		if diff := cmp.Diff(want, next); diff != "" {
			t.Fatalf("version %d: %s", v, diff)
		}
		have, last = next, d
	}
	if _, ok := sampleDocument(5).With(Delta{From: 4, Version: 6}); ok {
		t.Fatal("a delta of another version is taken")
	}
}

func TestHighestVersionWins(t *testing.T) {
	var b Registry
	steps := []struct {
		version uint64
		source  string
		taken   bool
	}{{7, "a", true}, {7, "a", false}, {7, "other", false}, {3, "older", false}, {40, "b", true}}
	for _, s := range steps {
		if got := b.Accept(&Proposal{Document: *sampleDocument(s.version), Source: []byte(s.source)}, time.Time{}, 1); got != s.taken {
			t.Errorf("version %d %q: taken %v", s.version, s.source, got)
		}
	}
	if b.Current.Document.Version != 40 || len(b.History) != 2 || string(b.Current.Source) != "b" {
		t.Fatalf("%+v", b)
	}
}

func TestParse(t *testing.T) {
	good := `{"version": 1, "services": [{"name": "chiso", "health": "/health", "connections": 1}], "limits": {}, "hosts": [
		{"name": "rent.example", "routes": [{"name": "r", "prefix": "/", "service": "chiso", "kind": "safe", "attempts": 2, "timeout": "1s", "objective": "300ms", "priority": 0}]}]}`
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, from, to string }{
		{"unknown key", `"limits"`, `"limit"`},
		{"a second kind", `"kind": "safe"`, `"kind": "unsafe", "kind": "safe"`},
		{"kind under a name in other letters", `"kind"`, `"Kind"`},
		{"no version", `"version": 1,`, ``},
		{"no attempts", `"attempts": 2,`, ``},
		{"timeout without unit", `"1s"`, `"1"`},
		{"no timeout", `"timeout": "1s",`, ``},
		{"unknown service", `"service": "chiso"`, `"service": "kekhai"`},
	} {
		bad := strings.Replace(good, c.from, c.to, 1)
		if _, err := Parse([]byte(bad)); err == nil || bad == good {
			t.Errorf("%s is accepted", c.name)
		}
	}
}

// TestEncodedPrefixes guards against an encoded prefix that counts as shorter than it is, or as
// another one than the same prefix in plain characters, in deltas too.
func TestEncodedPrefixes(t *testing.T) {
	route := func(name, prefix string) Route {
		return Route{Name: name, Prefix: prefix, Service: "s", Kind: Safe, Timeout: time.Second}
	}
	document := func(version uint64, routes ...Route) *Document {
		return &Document{Version: version, Services: []Service{{Name: "s"}}, Hosts: []Host{{Name: "a.example", Routes: routes}}}
	}
	all := []Route{route("short", "/%61%20%62/"), route("long", "/a b/c/"), route("shadowed", "/%61 b/")}
	first, changed, removed := document(1, all...), document(2, route("other", "/a%20b/"), all[1]), document(3, all[1])
	if list := first.Warnings(); len(list) != 1 || !strings.Contains(list[0].Text, "never matches") {
		t.Errorf("warnings %v, want one of the shadowed route", list)
	}
	var have, last *Document
	for i, want := range []string{"short", "other", ""} {
		d := []*Document{first, changed, removed}[i]
		have, _ = have.With(d.Diff(last))
		last = d
		for path, name := range map[string]string{"/a b/x": want, "/a b/c/x": "long"} {
			for from, doc := range map[string]*Document{"document": d, "entry host": have} {
				got := ""
				if r, ok := NewTable(doc).Find("a.example", path); ok {
					got = r.Name
				}
				if got != name {
					t.Errorf("version %d, %s, %s: route %q, want %q", d.Version, from, path, got, name)
				}
			}
		}
	}
}
