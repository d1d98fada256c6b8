package kqdaemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqsocket"
)

// waitTimeout is far beyond any timeout of the system: the test checks the order of
// events, not their speed.
const waitTimeout = 40 * time.Second

const operator = "operator-of-the-story"

// fleet is a set of hosts on loopback addresses of their own, like separate
// machines: the ports are the same on all.
type fleet struct {
	t     *testing.T
	dir   string
	ports [6]string // calls, admin, peers, ready, control, directory
	seeds []string
	hosts map[string]*Daemon

	stopTimes kqsettings.Stop
	opts      Options
	log       *kqlog.Log
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), hosts: map[string]*Daemon{}, log: kqlog.Discard()}
	addrs, err := kqsocket.FreeAddrs(len(f.ports))
	if err != nil {
		t.Fatal(err)
	}
	for i, a := range addrs {
		_, f.ports[i], _ = net.SplitHostPort(a)
	}
	for i := range 3 {
		f.seeds = append(f.seeds, net.JoinHostPort(control(i), f.ports[4]))
	}
	t.Cleanup(func() {
		for _, d := range f.hosts {
			d.Close()
		}
	})
	return f
}

// fleetNet holds the addresses of this process's fleets, fleetMark what marks them as taken.
var fleetNet, fleetMark = reserveNet()

// markPort is the port by which processes see that a network is taken.
const markPort = 7171

// reserveNet returns the beginning of addresses that no other process of these tests uses, as
// long as the listener is open: ports that are free for one fleet can be in use by another.
func reserveNet() (string, net.Listener) {
	var err error
	for i := range 250 {
		var l net.Listener
		prefix := fmt.Sprintf("127.71.%d.", i)
		if l, err = net.Listen("tcp", net.JoinHostPort(prefix+"254", strconv.Itoa(markPort))); err == nil {
			return prefix, l
		}
	}
	panic(err)
}

// TestFleetsOfTwoProcesses guards against hosts of two runs at the same address: "bind: address
// already in use".
func TestFleetsOfTwoProcesses(t *testing.T) {
	other, mark := reserveNet()
	defer mark.Close()
	if fleetMark == nil || other == fleetNet || other[:len("127.71.")] != fleetNet[:len("127.71.")] {
		t.Errorf("%q beside %q", other, fleetNet)
	}
}

func control(i int) string { return fmt.Sprint(fleetNet, 1+i) }

func entry(i int) string { return fmt.Sprint(fleetNet, 101+i) }

func (f *fleet) at(host string, port int) string { return net.JoinHostPort(host, f.ports[port]) }

func (f *fleet) start(host string, bootstrap bool) {
	f.t.Helper()
	s := kqsettings.Settings{
		Host: host, Domain: "a", Region: "r", Secret: "secret-of-the-story", OperatorKey: operator,
		Seeds: f.seeds, Bootstrap: bootstrap, Tolerance: 2, Stop: f.stopTimes,
		Listen: kqsettings.Listen{Admin: f.at(host, 1), Peers: f.at(host, 2)},
	}
	if strings.HasPrefix(host, fleetNet+"10") {
		s.Roles = []string{kqsettings.RoleEntry}
		s.Listen.Calls, s.Listen.Ready, s.Listen.Directory = f.at(host, 0), f.at(host, 3), f.at(host, 5)
	} else {
		s.Roles = []string{kqsettings.RoleControl}
		s.Listen.Control, s.Data = f.at(host, 4), filepath.Join(f.dir, host)
	}
	if err := s.Validate(); err != nil {
		f.t.Fatal(err)
	}
	d, err := StartWith(s, f.log, f.opts)
	if err != nil {
		f.t.Fatal(err)
	}
	f.hosts[host] = d
}

func (f *fleet) stop(host string) {
	f.hosts[host].Close()
	delete(f.hosts, host)
}

// eventually repeats check until it returns an empty text.
func (f *fleet) eventually(what string, check func() string) {
	f.t.Helper()
	until := time.Now().Add(waitTimeout)
	for {
		missing := check()
		if missing == "" {
			return
		}
		if time.Now().After(until) {
			f.t.Fatalf("%s: %s", what, missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// voters waits until every running control host has a leader and counts n voters.
func (f *fleet) voters(n int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%d voters", n), func() string {
		for host, d := range f.hosts {
			if d.control == nil {
				continue
			}
			s, err := d.control.Status()
			if err != nil {
				return err.Error()
			}
			count := 0
			for _, m := range s.Members {
				if m.Voter {
					count++
				}
			}
			if count != n || s.Leader == "" {
				return fmt.Sprintf("%s counts %d\n%s", host, count, f.statuses())
			}
		}
		return ""
	})
}

// statuses returns the status of each running control host for failure messages.
func (f *fleet) statuses() string {
	var b strings.Builder
	for host, d := range f.hosts {
		if d.control == nil {
			continue
		}
		s, err := d.control.Status()
		var up []string
		for peer := range f.hosts {
			if d.mesh.Up(peer) {
				up = append(up, peer)
			}
		}
		fmt.Fprintf(&b, "%s: %+v %v, links to %v\n", host, s, err, up)
	}
	return b.String()
}

func (f *fleet) send(method, addr, path, body string, header ...string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operator)
	req.Host = "rent.example"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	p, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(p)
}

// want repeats a request until it is answered with the status.
func (f *fleet) want(status int, method, addr, path, body string) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%s %s: %d", method, path, status), func() string {
		got, text := f.send(method, addr, path, body, kqproxy.DefaultHeaderNames.RequestID, "id-1")
		if got == status {
			return ""
		}
		return fmt.Sprint(got, " ", text)
	})
}

func routes(version int, prefix string) string {
	return fmt.Sprintf(`{"version": %d, "services": [{"name": "kekhai", "health": "/health", "connections": 20}], "limits": {}, "hosts": [
		{"name": "rent.example", "routes": [{"name": "r", "prefix": %q, "service": "kekhai", "kind": "unsafe", "attempts": 2, "timeout": "2s", "objective": "300ms"}]}]}`,
		version, prefix)
}

// TestSeededLifecycle forms a cluster from three seeds, serves a call, loses a disk,
// replaces a control host, drains a target and restarts all hosts.
func TestSeededLifecycle(t *testing.T) {
	f := newFleet(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(kqproxy.DefaultHeaderNames.Load, "0,0,4,100")
		w.Header().Set(kqproxy.DefaultHeaderNames.RequestID, r.Header.Get(kqproxy.DefaultHeaderNames.RequestID))
		w.Header().Set(kqproxy.DefaultHeaderNames.Seal, "sealed")
	}))
	defer target.Close()
	announce := func(state string, boot, seq int) string {
		return fmt.Sprintf(`{"service":"kekhai","id":"kekhai-1","addr":%q,"domain":"a","slots":4,"state":%q,"boot":%d,"seq":%d}`,
			strings.TrimPrefix(target.URL, "http://"), state, boot, seq)
	}
	for i := range 5 {
		f.start(control(i), true)
	}
	for i := range 2 {
		f.start(entry(i), true)
	}
	f.voters(5)

	f.want(503, "GET", f.at(entry(0), 0), "/filings/1", "") // no routes yet: retry later
	f.want(200, "PUT", f.at(control(3), 1), "/v1/routes", routes(7, "/filings/"))
	f.want(200, "POST", f.at(control(4), 4), "/v1/targets", announce("ready", 1, 1))
	for i := range 2 {
		f.want(200, "POST", f.at(entry(i), 0), "/filings/1", "filing")
		f.want(404, "POST", f.at(entry(i), 0), "/other/", "")
	}
	f.eventually("both entry hosts in the directory", func() string {
		_, text := f.send("GET", f.at(entry(1), 5), "/v1/entries", "")
		var out struct{ Entries []struct{ Addr string } }
		if err := json.Unmarshal([]byte(text), &out); err != nil || len(out.Entries) != 2 {
			return text
		}
		return ""
	})

	// A seed loses its disk: it must not form a new cluster, and is a voter again once
	// it has caught up.
	f.stop(control(0))
	if err := os.RemoveAll(filepath.Join(f.dir, control(0))); err != nil {
		t.Fatal(err)
	}
	f.start(control(0), false)
	f.voters(5)

	// A control host is lost for good, and another one replaces it.
	f.stop(control(4))
	f.start(control(5), false)
	f.voters(5)

	f.want(200, "PUT", f.at(control(5), 1), "/v1/routes", routes(3, "/older/")) // acknowledged, changes nothing
	f.want(200, "POST", f.at(entry(0), 0), "/filings/1", "filing")

	f.want(200, "POST", f.at(control(1), 4), "/v1/targets", announce("draining", 1, 2))
	f.want(503, "POST", f.at(entry(0), 0), "/filings/1", "filing")

	for _, host := range []string{control(0), control(1), control(2), control(3), control(5), entry(0), entry(1)} {
		f.stop(host)
	}
	for _, host := range []string{control(0), control(1), control(2), control(3), control(5), entry(0), entry(1)} {
		f.start(host, false)
	}
	f.voters(5)
	f.want(200, "POST", f.at(control(1), 4), "/v1/targets", announce("ready", 1, 1)) // outdated: does not make the target ready again
	f.want(503, "POST", f.at(entry(1), 0), "/filings/1", "filing")
	f.want(200, "POST", f.at(control(1), 4), "/v1/targets", announce("ready", 2, 1)) // the target has restarted
	f.want(200, "POST", f.at(entry(1), 0), "/filings/1", "filing")
	if _, text := f.send("GET", f.at(control(2), 1), "/v1/routes", ""); text != routes(7, "/filings/") {
		t.Fatalf("routes after the restart: %s", text)
	}
}
