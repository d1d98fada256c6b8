package kqproxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// TestEncodedSlashIsNoSeparator guards against a request that is taken for one of a longer
// prefix, which its path does not begin with: it would run again there, or need no key.
func TestEncodedSlashIsNoSeparator(t *testing.T) {
	addRoute := func(f *fixture, r kqroutes.Route) {
		f.change(func(d *kqroutes.Document) {
			base := d.Hosts[0].Routes[0]
			r.Service, r.Attempts, r.Timeout, r.Objective = base.Service, base.Attempts, base.Timeout, base.Objective
			d.Hosts[0].Routes = append(d.Hosts[0].Routes, r)
			d.Owners = owners("a")
		})
	}
	cases := []struct {
		path             string
		status, arrivals int
	}{
		{"/filings/open/1", 200, 2}, // the longer prefix: repeated, and without a key
		{"/filings/op%65n/1", 200, 2},
		{"/filings/open%2F1", 401, 0},
		{"/filings/open%2f..%2f1", 401, 0},
		{"/filings%2Fopen/1", 404, 0},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			a, b := failFirst(resetConn)
			f := newFixture(t, kqroutes.Unsafe, time.Second, a, b)
			addRoute(f, kqroutes.Route{Name: "open", Prefix: "/filings/open/", Kind: kqroutes.Safe, Open: true})
			res, _, err := f.call(c.path, "filing")
			if err != nil || res.StatusCode != c.status || f.arrivals() != c.arrivals {
				t.Fatalf("%v %v after %d arrivals, want %d after %d", res, err, f.arrivals(), c.status, c.arrivals)
			}
		})
	}
}

// TestPathAsSent guards against a path that reaches the target changed: characters that RFC
// 3986 does not allow in one are not the proxy's to encode.
func TestPathAsSent(t *testing.T) {
	for _, path := range []string{"/filings/1?q=%7c|", "/filings/a|b", "/filings/{\"x\"}^`<1>", "/filings/\xc3\xa9/%2F|", "/filings/a#b?q=1", "/filings//|?"} {
		f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: index.example\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", path)
		if answer, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
			t.Errorf("%s: %q %v", path, answer, err)
			continue
		}
		if got := f.fakeTargets[0].lastRequest.Load().RequestURI; got != path {
			t.Errorf("the target gets %s, want %s", got, path)
		}
	}
}

// TestHostWithPort guards against requests that are run by the service of another host: with
// exact hosts a port that is not listed matches none, also after a host with it was removed.
func TestHostWithPort(t *testing.T) {
	for exact, want := range map[bool]int{true: 404, false: 200} {
		f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
		f.engine.cfg.ExactHosts = exact
		send := func(step string, status int) {
			t.Helper()
			req, err := f.newRequest("/filings/1", "filing")
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "index.example:8443"
			if res, _, err := f.do(req); err != nil || res.StatusCode != status {
				t.Errorf("exact hosts %v, %s: %v %v, want %d", exact, step, res, err, status)
			}
		}
		send("not listed", want)
		f.change(func(d *kqroutes.Document) {
			d.Hosts = append(d.Hosts, kqroutes.Host{Name: "index.example:8443", Routes: d.Hosts[0].Routes})
		})
		send("listed", 200)
		f.change(func(*kqroutes.Document) {})
		send("removed", want)
	}
}

// TestEncodedPrefix guards against a prefix that matches no request since operators write it as
// callers send it: with encoded characters. The route of a shorter prefix would get its requests.
func TestEncodedPrefix(t *testing.T) {
	for _, c := range []struct {
		prefix, path string
		status       int
	}{
		{"/foto%20bak/", "/foto%20bak/1", 200},
		{"/foto bak/", "/foto%20bak/1", 200},
		{"/foto%20bak/", "/%66oto%20bak/1", 200},
		{"/a%2fb/", "/a%2Fb/1", 200},
		{"/a%2Fb/", "/a/b/1", 404},
		{"/a%2Fb/", "/a%252Fb/1", 404},
		{"/100%25/", "/100%25/1", 200},
		{"/100%25/", "/100%2525/1", 404},
		{"/%C3%A9/", "/\xc3\xa9/1", 200},
		{"/\xc3\xa9/", "/%c3%A9/1", 200},
	} {
		f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
		f.change(func(d *kqroutes.Document) { d.Hosts[0].Routes[0].Prefix = c.prefix })
		if res, _, err := f.call(c.path, "filing"); err != nil || res.StatusCode != c.status {
			t.Errorf("prefix %s, path %s: %v %v, want %d", c.prefix, c.path, res, err, c.status)
		}
	}
}
