package kqdaemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqroutes"

	"github.com/labstack/echo/v4"
)

const (
	askersPerListener = 12
	maxAskPause       = 4 * time.Millisecond  // between two requests of an asker
	maxHandlerDelay   = 10 * time.Millisecond // as on a busy machine
	askLoad           = 400 * time.Millisecond
	unreadSlack       = 200 * time.Millisecond // after which a request that arrived counts as read
	controlStopLimit  = 1200 * time.Millisecond
	askTimeout        = 10 * time.Second
	requestIDHeader   = "X-Request-Id"
)

// askerDialer dials from an address of its own, like that of stayers.
var askerDialer = net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 73, 2)}}

// askers are clients of one listener of a host, each with a connection that it keeps until
// nothing listens any more. They record which requests ended without a whole answer.
type askers struct {
	name    string
	addr    string
	request func() (id, raw string)
	ran     func(id string) bool // whether the host took the request
	count   int                  // askersPerListener if 0

	wg       sync.WaitGroup
	answered atomic.Int64
	mu       sync.Mutex
	cut      map[string]time.Duration // how long after the last byte of the request, by id
}

func (a *askers) start() {
	a.cut = map[string]time.Duration{}
	if a.count == 0 {
		a.count = askersPerListener
	}
	for range a.count {
		a.wg.Go(func() {
			for a.useConnection() {
			}
		})
	}
}

// useConnection sends one request after another until the connection ends. It returns false
// if none could be opened.
func (a *askers) useConnection() bool {
	c, err := askerDialer.Dial("tcp", a.addr)
	if err != nil {
		return false
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		id, raw := a.request()
		c.SetDeadline(time.Now().Add(askTimeout))
		if _, err := io.WriteString(c, raw); err != nil {
			return true // not sent whole
		}
		sent := time.Now()
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		if err != nil {
			a.mu.Lock()
			a.cut[id] = time.Since(sent)
			a.mu.Unlock()
			return true
		}
		a.answered.Add(1)
		if res.Close {
			return true
		}
		time.Sleep(rand.N(maxAskPause))
	}
}

// check reports the requests that were lost once the host has stopped.
func (a *askers) check(t *testing.T) {
	t.Helper()
	a.wg.Wait()
	lost := 0
	for id, waited := range a.cut {
		if waited > unreadSlack || a.ran(id) {
			lost++
		}
	}
	t.Logf("%s: %d answered, %d crossed the close, %d lost", a.name, a.answered.Load(), len(a.cut)-lost, lost)
	if lost > 0 {
		t.Errorf("%s: %d requests were taken and not answered", a.name, lost)
	}
	if a.answered.Load() == 0 {
		t.Errorf("%s: no request was answered", a.name)
	}
}

// takenRequests records the requests whose handlers ran.
type takenRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *takenRequests) record(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r.mu.Lock()
		r.ids[c.Request().Header.Get(requestIDHeader)] = true
		r.mu.Unlock()
		time.Sleep(rand.N(maxHandlerDelay))
		return next(c)
	}
}

func (r *takenRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// api returns the native interface whose handlers are recorded.
func (r *takenRequests) api() *ExternalAPI {
	api, native := *NativeAPI(), NativeAPI()
	api.RegisterReady = func(e *echo.Echo, ready func() bool) {
		e.Use(r.record)
		native.RegisterReady(e, ready)
	}
	api.RegisterDirectory = func(e *echo.Echo, entries func(string, int) ([]string, time.Duration)) {
		e.Use(r.record)
		native.RegisterDirectory(e, entries)
	}
	api.RegisterControl = func(e *echo.Echo, store kqcontrol.LocalStore, log *kqlog.Log) {
		e.Use(r.record)
		native.RegisterControl(e, store, log)
	}
	return &api
}

// listenerTest is a running fleet whose listeners are used by askers.
type listenerTest struct {
	*fleet
	taken   takenRequests
	lastID  atomic.Int64
	version atomic.Int64
}

func newListenerTest(t *testing.T, controls int) *listenerTest {
	t.Helper()
	lt := &listenerTest{fleet: newFleet(t), taken: takenRequests{ids: map[string]bool{}}}
	lt.stopTimes = kqsettings.Stop{CacheTime: kqsettings.Duration(300 * time.Millisecond), Timeout: kqsettings.Duration(1500 * time.Millisecond)}
	lt.opts = Options{API: lt.taken.api()}
	for i := range controls {
		lt.start(control(i), true)
	}
	lt.start(entry(0), true)
	lt.voters(controls)
	lt.version.Store(1)
	lt.want(200, "PUT", lt.at(control(0), 1), "/v1/routes", routes(1, "/filings/"))
	return lt
}

// ask returns askers whose requests have the method, path and body, which gets a number.
func (lt *listenerTest) ask(name, host string, port int, method, path, body string) *askers {
	return &askers{name: name, addr: lt.at(host, port), ran: lt.taken.has, request: func() (string, string) {
		n := lt.lastID.Add(1)
		id := fmt.Sprint("ask-", n)
		filled := body
		if body != "" {
			filled = fmt.Sprintf(body, n)
		}
		return id, rawRequest(method, path, id, filled)
	}}
}

// askRoutes returns askers that put routes, each with a version of its own.
func (lt *listenerTest) askRoutes(name, host string) *askers {
	return &askers{name: name, addr: lt.at(host, 1), ran: lt.isAccepted, request: func() (string, string) {
		v := lt.version.Add(1)
		return fmt.Sprint(v), rawRequest("PUT", "/v1/routes", fmt.Sprint(v), routes(int(v), "/filings/"))
	}}
}

// isAccepted reports whether another host holds the version as accepted.
func (lt *listenerTest) isAccepted(version string) bool {
	var list []kqroutes.AcceptedVersion
	lt.eventually("the history of routes", func() string {
		for host, d := range lt.hosts {
			if d.control == nil {
				continue
			}
			status, text := lt.send("GET", lt.at(host, 1), "/v1/routes/history", "")
			if status != http.StatusOK || json.Unmarshal([]byte(text), &list) != nil {
				return text
			}
			return ""
		}
		return "no control host"
	})
	for _, v := range list {
		if fmt.Sprint(v.Version) == version {
			return true
		}
	}
	return false
}

func rawRequest(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, operator, requestIDHeader, id, len(body), body)
}

// stopUnderAskers stops the host while askers use its listeners.
func (lt *listenerTest) stopUnderAskers(t *testing.T, host string, list ...*askers) time.Duration {
	t.Helper()
	for _, a := range list {
		a.start()
	}
	time.Sleep(askLoad)
	began := time.Now()
	lt.hosts[host].Stop(make(chan struct{}))
	took := time.Since(began)
	delete(lt.hosts, host)
	for _, a := range list {
		a.check(t)
	}
	t.Logf("the stop took %s", took.Round(time.Millisecond))
	return took
}

const announcementBody = `{"service":"kekhai","id":"kekhai-%d","addr":"127.0.0.1:9","domain":"a","slots":4,"state":"ready","boot":1,"seq":1}`

// TestStopAnswersOnEveryListener guards against requests of operators, targets, look-ups and
// checks that a planned stop cuts after they were taken.
func TestStopAnswersOnEveryListener(t *testing.T) {
	lt := newListenerTest(t, 5)
	lt.start(entry(1), true)
	for i, name := range []string{"entry host", "entry host with callers until its end"} {
		t.Run(name, func(t *testing.T) {
			host := entry(i)
			if i > 0 {
				lt.holdCall(t, host)
			}
			took := lt.stopUnderAskers(t, host,
				lt.ask("ready", host, 3, "GET", "/v1/ready", ""),
				lt.ask("directory", host, 5, "GET", "/v1/entries", ""),
				lt.askRoutes("admin", host),
			)
			if limit := lt.stopTimes.Timeout.Or(0) + stopMargin; took > limit {
				t.Errorf("the stop took %s, at most %s are allowed", took, limit)
			}
		})
	}
	for _, role := range []string{"follower", "leader"} {
		t.Run(role, func(t *testing.T) {
			host := lt.withRole(role == "leader")
			took := lt.stopUnderAskers(t, host,
				lt.ask("control", host, 4, "POST", "/v1/targets", announcementBody),
				lt.askRoutes("admin", host),
			)
			if took > controlStopLimit {
				t.Errorf("the stop took %s, at most %s are allowed", took, controlStopLimit)
			}
		})
	}
}

// holdCall begins a call to the host that is never sent whole.
func (lt *listenerTest) holdCall(t *testing.T, host string) {
	t.Helper()
	c, err := askerDialer.Dial("tcp", lt.at(host, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, "GET /")
}

// withRole returns a control host that leads or doesn't.
func (lt *listenerTest) withRole(leads bool) (found string) {
	lt.eventually("a control host with the role", func() string {
		for host, d := range lt.hosts {
			if d.control != nil && d.control.Leader() != "" && (d.control.Leader() == host) == leads {
				found = host
				return ""
			}
		}
		return "none"
	})
	return found
}

// TestStopAnswersWhatIsUndecided guards against changes whose outcome is open at a planned
// stop and that are cut, so that whoever sent them doesn't learn that it is open.
func TestStopAnswersWhatIsUndecided(t *testing.T) {
	for _, signals := range []struct {
		name   string
		second bool
		limit  time.Duration
	}{
		{"one signal", false, controlStopLimit},
		{"two signals", true, controlStopLimit / 2},
	} {
		t.Run(signals.name, func(t *testing.T) {
			stopUndecided(t, signals.second, signals.limit)
		})
	}
}

// stopUndecided stops a control host without a quorum while changes wait for one.
func stopUndecided(t *testing.T, second bool, limit time.Duration) {
	t.Helper()
	lt := newListenerTest(t, 3)
	lt.stop(control(1))
	lt.stop(control(2))
	host := control(0)
	var wg sync.WaitGroup
	for _, ask := range []struct {
		method, addr, path, body string
		want                     int
	}{
		{"PUT", lt.at(host, 1), "/v1/routes", routes(9, "/filings/"), http.StatusGatewayTimeout},
		{"POST", lt.at(host, 4), "/v1/targets", fmt.Sprintf(announcementBody, 1), http.StatusServiceUnavailable},
	} {
		wg.Go(func() {
			if status, text := lt.send(ask.method, ask.addr, ask.path, ask.body, requestIDHeader, ask.path); status != ask.want {
				t.Errorf("%s: status %d %s, want %d", ask.path, status, text, ask.want)
			}
		})
	}
	time.Sleep(askLoad)
	expedite := make(chan struct{})
	if second {
		close(expedite)
	}
	began := time.Now()
	lt.hosts[host].Stop(expedite)
	delete(lt.hosts, host)
	if took := time.Since(began); took > limit {
		t.Errorf("the stop took %s, at most %s are allowed", took, limit)
	}
	wg.Wait()
}

// TestStopLogsWhatItCuts guards against requests that a stop cuts without a line by which
// operators can tell it.
func TestStopLogsWhatItCuts(t *testing.T) {
	f := newFleet(t)
	path := filepath.Join(t.TempDir(), "log")
	log, err := kqlog.Open("fleet", "warn", path)
	if err != nil {
		t.Fatal(err)
	}
	f.log = log
	for i := range 3 {
		f.start(control(i), true)
	}
	f.voters(3)
	host := control(0)
	c, err := askerDialer.Dial("tcp", f.at(host, 1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	whole := rawRequest("PUT", "/v1/routes", "1", routes(2, "/filings/"))
	io.WriteString(c, whole[:len(whole)-1]) // the end of the body never comes
	time.Sleep(askLoad)
	f.hosts[host].Stop(make(chan struct{}))
	delete(f.hosts, host)
	p, err := os.ReadFile(path)
	if want := "stopping with 1 requests in flight on the admin listener"; err != nil || !strings.Contains(string(p), want) {
		t.Errorf("log %q %v, want %q", p, err, want)
	}
}

// TestStopOfHostWithContracts guards against calls and changes that a planned stop of a host
// with contracts cuts after they were taken.
func TestStopOfHostWithContracts(t *testing.T) {
	host := control(0)
	f := newFleet(t)
	s := kqsettings.Settings{
		Host: "h1", Domain: "a", Region: "r", Data: filepath.Join(f.dir, "h1"), Secret: "secret-of-the-story", OperatorKey: operator,
		Roles:   []string{kqsettings.RoleEntry, kqsettings.RoleControl},
		Listen:  kqsettings.Listen{Calls: f.at(host, 0), Admin: f.at(host, 1), Peers: f.at(host, 2)},
		Control: []kqsettings.Control{{Host: "h1", Domain: "a", Peers: f.at(host, 2)}},
	}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	d, err := Start(s, kqlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	f.hosts[host] = d
	f.want(200, "PUT", f.at(host, 1), "/v1/contracts/demo", contract(1))
	target, err := kqtarget.Start(kqtarget.Config{
		Service: "echo", ID: "echo-1", Addr: "127.0.0.1:0", Domain: "a", Slots: 4 * askersPerListener, Connections: 220,
		Queue: 16, Mean: maxHandlerDelay, Entries: []string{f.at(host, 0)},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Kill()
	f.eventually("the target is served", func() string {
		status, text := f.send("GET", f.at(host, 0), "/first", "", kqheader.Owner, "demo", kqheader.Service, "echo")
		if status != http.StatusOK {
			return fmt.Sprint(status, text)
		}
		return ""
	})
	var lastID, version atomic.Int64
	version.Store(1)
	calls := &askers{name: "calls", addr: f.at(host, 0), request: func() (string, string) {
		id := fmt.Sprint("ask-", lastID.Add(1))
		return id, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s: demo\r\n%s: echo\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			kqheader.Owner, kqheader.Service, kqheader.IdempotencyKey, id)
	}, ran: func(id string) bool { return target.Keys()[id] > 0 }}
	// One asker, as each version must follow the last one.
	admin := &askers{name: "admin", addr: f.at(host, 1), count: 1, request: func() (string, string) {
		v := version.Add(1)
		return fmt.Sprint(v), rawRequest("PUT", "/v1/contracts/demo", fmt.Sprint(v), contract(v))
	}, ran: func(version string) bool {
		events, _ := d.events.Since(kqevent.Timestamp{})
		return slices.ContainsFunc(events, func(e kqevent.Event) bool {
			return e.Kind == "accepted" && e.Text == "demo version "+version
		})
	}}
	for _, a := range []*askers{calls, admin} {
		a.start()
	}
	time.Sleep(askLoad)
	expedite := make(chan struct{})
	close(expedite) // it need not wait for callers with an old answer
	d.Stop(expedite)
	delete(f.hosts, host)
	for _, a := range []*askers{calls, admin} {
		a.check(t)
	}
}

func contract(version int64) string {
	return fmt.Sprintf(`{"owner":"demo","version":%d,"services":[{"name":"echo","idempotent":["GET"],"deadline":"2s",
		"rate":10000,"burst":1000,"active":64,"queue":64,"share":1,"probes":1,"retries":10,"hedges":5,"body":1048576}]}`, version)
}

// TestLeaderStopLosesNoChange guards against changes that go through other hosts while the
// leader stops, and are acknowledged and gone, or not answered.
func TestLeaderStopLosesNoChange(t *testing.T) {
	lt := newListenerTest(t, 5)
	leader := lt.withRole(true)
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked, statuses := []string{}, map[int]int{}
	longest := time.Duration(0)
	stopped := make(chan struct{})
	put := func(addr string) {
		v := lt.version.Add(1)
		began := time.Now()
		status, text := lt.send("PUT", addr, "/v1/routes", routes(int(v), "/filings/"))
		mu.Lock()
		defer mu.Unlock()
		statuses[status]++
		longest = max(longest, time.Since(began))
		if status == http.StatusOK && strings.Contains(text, `"taken":true`) {
			acked = append(acked, fmt.Sprint(v))
		}
	}
	for host, d := range lt.hosts {
		if host == leader {
			continue
		}
		for range 3 {
			wg.Go(func() {
				for !isClosed(stopped) {
					put(d.settings.Listen.Admin)
					time.Sleep(rand.N(maxAskPause))
				}
			})
		}
	}
	time.Sleep(askLoad)
	lt.hosts[leader].Stop(make(chan struct{}))
	delete(lt.hosts, leader)
	time.Sleep(askLoad)
	close(stopped)
	wg.Wait()
	t.Logf("%d acknowledged, by status %v, the longest took %s", len(acked), statuses, longest.Round(time.Millisecond))
	if statuses[0] > 0 {
		t.Errorf("%d changes got no answer", statuses[0])
	}
	if len(acked) == 0 {
		t.Error("no change was acknowledged")
	}
	for _, v := range acked[max(0, len(acked)-kqroutes.MaxHistory/2):] {
		if !lt.isAccepted(v) {
			t.Errorf("version %s was acknowledged and is gone", v)
		}
	}
}

// TestChangeOutlastsControlHost guards against a change sent to an entry host that fails
// because the control host which it is passed to stops.
func TestChangeOutlastsControlHost(t *testing.T) {
	lt := newListenerTest(t, 5)
	host := lt.hosts[entry(0)].hubHost()
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for !isClosed(stopped) {
				v := int(lt.version.Add(1))
				if status, text := lt.send("PUT", lt.at(entry(0), 1), "/v1/routes", routes(v, "/filings/")); status != http.StatusOK {
					t.Errorf("version %d: %d %s", v, status, text)
				}
				time.Sleep(rand.N(maxAskPause))
			}
		})
	}
	time.Sleep(askLoad)
	lt.hosts[host].Stop(make(chan struct{}))
	delete(lt.hosts, host)
	time.Sleep(askLoad)
	close(stopped)
	wg.Wait()
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
