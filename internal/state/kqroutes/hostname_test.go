package kqroutes

import (
	"testing"
	"time"
)

// TestHostsWithPorts guards against requests that are run by the service of another host: hosts
// that differ by their port, or a dot at the end, have routes of their own. Without exact hosts a
// port that is not listed is ignored.
func TestHostsWithPorts(t *testing.T) {
	doc := &Document{Version: 1, Services: []Service{{Name: "s"}}}
	for _, h := range []string{"a.example", "a.example:8443", "[::1]", "[::1]:1", "B.example:1", "c.example."} {
		doc.Hosts = append(doc.Hosts, Host{Name: h, Routes: []Route{{Name: h, Prefix: "/", Service: "s", Kind: Safe, Timeout: time.Second}}})
	}
	received, _ := (*Document)(nil).With(doc.Diff(nil))
	for _, c := range []struct{ host, exact, anyPort string }{
		{"a.example", "a.example", "a.example"},
		{"A.Example:8443", "a.example:8443", "a.example:8443"},
		{"a.example:9", "", "a.example"},
		{"a.example:80", "", "a.example"},
		{"a.example:", "", "a.example"},
		{"a.example.", "", ""},
		{"b.example", "", ""},
		{"b.example:1", "B.example:1", "B.example:1"},
		{"c.example.:80", "", "c.example."},
		{"[::1]", "[::1]", "[::1]"},
		{"[::1]:1", "[::1]:1", "[::1]:1"},
		{"[::1]:2", "", "[::1]"},
		{"::1", "", ""},
		{"", "", ""},
	} {
		for from, d := range map[string]*Document{"document": doc, "entry host": received} {
			for mode, want := range map[string]string{"exact": c.exact, "any port": c.anyPort} {
				table := NewTable(d)
				find := table.Find
				if mode == "any port" {
					find = table.FindAnyPort
				}
				name := ""
				if r, ok := find(c.host, "/x"); ok {
					name = r.Name
				}
				if name != want {
					t.Errorf("%s, %s, %q: route %q, want %q", from, mode, c.host, name, want)
				}
			}
		}
	}
	if list := doc.Warnings(); len(list) != 0 {
		t.Errorf("warnings %v, want none", list)
	}
}

// FuzzHosts compares the route of a request with that of the first listed host with its name, on
// a host that gets a second host as a change, and loses it again.
func FuzzHosts(f *testing.F) {
	names := []string{"a.example", "A.EXAMPLE", "a.example:8443", "a.example:", "a.example.", "a.example:80", "[::1]", "[::1]:1", ":1", "", "\u212a.example", "k.example", "\xdd", "\x80"}
	for i, a := range names {
		f.Add(a, names[(i+1)%len(names)], names[(i+2)%len(names)])
		f.Add(a, names[(i+1)%len(names)], a)
	}
	f.Fuzz(func(t *testing.T, first, second, sent string) {
		host := func(name, service string) Host {
			return Host{Name: name, Routes: []Route{{Name: service, Prefix: "/", Service: service, Kind: Safe, Timeout: time.Second}}}
		}
		services := []Service{{Name: "first"}, {Name: "second"}}
		documents := []*Document{
			{Version: 1, Services: services, Hosts: []Host{host(first, "first")}},
			{Version: 2, Services: services, Hosts: []Host{host(first, "first"), host(second, "second")}},
			{Version: 3, Services: services, Hosts: []Host{host(second, "second")}},
		}
		var have, last *Document
		for _, d := range documents {
			have, _ = have.With(d.Diff(last))
			last = d
			want := ""
			for _, h := range d.Hosts {
				if want == "" && equalHosts(h.Name, sent) {
					want = h.Routes[0].Service
				}
			}
			got := ""
			if r, ok := NewTable(have).Find(sent, "/x"); ok {
				got = r.Service
			}
			if got != want {
				t.Errorf("version %d with %q and %q: %q goes to %q, want %q", d.Version, first, second, sent, got, want)
			}
		}
	})
}

// equalHosts compares byte by byte but for the case of ASCII letters.
func equalHosts(a, b string) bool {
	for i := range min(len(a), len(b)) {
		x, y := a[i], b[i]
		if x != y && (x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z') {
			return false
		}
	}
	return len(a) == len(b)
}
