package kqcall

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/route/kqpolicy"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"

	"github.com/rcrowley/go-metrics"
)

// fixture is an engine behind an HTTP server, with one target.
type fixture struct {
	engine      *Engine
	server      *httptest.Server
	targetConns atomic.Int64 // connections that the target accepted
	targetCalls atomic.Int64
}

func service() kqcontract.Service {
	return kqcontract.Service{
		Name: "kekhai", Idempotent: []string{"GET"}, Deadline: kqcontract.Duration(5 * time.Second),
		Rate: 10000, Burst: 1000, Active: 100, Queue: 10, Share: 1, Retries: 10, Body: 1000,
	}
}

func newFixture(t *testing.T, target http.HandlerFunc, modify func(*kqcontract.Contract)) *fixture {
	t.Helper()
	f := &fixture{}
	targetServer := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f.targetCalls.Add(1)
		target(rw, r)
	}))
	targetServer.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			f.targetConns.Add(1)
		}
	}
	targetServer.Start()
	t.Cleanup(targetServer.Close)
	contract := &kqcontract.Contract{Owner: "o", Version: 7, Services: []kqcontract.Service{service()}}
	if modify != nil {
		modify(contract)
	}
	view := &kqfeed.View{Revision: 1, Contracts: map[string]*kqcontract.Contract{"o": contract}}
	f.engine = NewEngine(Config{
		Host: "e1", Policy: func() kq.Policy { return kqpolicy.LeastExpectedTime{} }, Clock: kqclock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
		Events: kqevent.NewRecorder("e1", time.Now), Metrics: metrics.NewRegistry(), View: func() *kqfeed.View { return view },
		LimitFraction: func(string, string) float64 { return 1 },
	})
	t.Cleanup(f.engine.Close)
	f.engine.ApplyView(nil, view)
	f.engine.TargetUpdated(kqdirectory.Record{
		Service: "kekhai", ID: "k1", Addr: strings.TrimPrefix(targetServer.URL, "http://"), Domain: "a",
		Slots: 4, Connections: 220, State: kqdirectory.Ready, Epoch: 1, Seq: 1,
	})
	f.server = httptest.NewServer(f.engine)
	t.Cleanup(f.server.Close)
	time.Sleep(20 * time.Millisecond) // lets the token bucket, which starts empty, fill
	return f
}

func (f *fixture) do(t *testing.T, method, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, f.server.URL+"/filings?x=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(kqheader.Owner, "o")
	req.Header.Set(kqheader.Service, "kekhai")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	return res, string(p), err
}

func echoRequestBody(w http.ResponseWriter, r *http.Request) {
	p, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Path", r.URL.RequestURI())
	w.Write(p)
}

func TestCallsReuseOneConnection(t *testing.T) {
	f := newFixture(t, echoRequestBody, nil)
	for range 20 {
		res, body, err := f.do(t, http.MethodPost, "filing")
		if err != nil || res.StatusCode != http.StatusOK || body != "filing" || res.Header.Get("X-Path") != "/filings?x=1" {
			t.Fatalf("%v %q %v", res, body, err)
		}
	}
	if n := f.targetConns.Load(); n != 1 {
		t.Fatalf("%d connections for sequential calls", n)
	}
}

func TestTruncatedResponseFailsCaller(t *testing.T) {
	f := newFixture(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		io.WriteString(rw, "short")
		http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}, nil)
	res, body, err := f.do(t, http.MethodGet, "")
	if err == nil {
		t.Fatalf("truncated response looks complete: %d %q", res.StatusCode, body)
	}
}

func TestTrailersAreForwarded(t *testing.T) {
	f := newFixture(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Trailer", "X-Sum")
		io.WriteString(rw, "body")
		http.NewResponseController(rw).Flush()
		rw.Header().Set("X-Sum", "17")
	}, nil)
	res, body, err := f.do(t, http.MethodGet, "")
	if err != nil || body != "body" || res.Trailer.Get("X-Sum") != "17" {
		t.Fatalf("%q %v, trailer %v", body, err, res.Trailer)
	}
}

// TestGeneratedResponses checks status, error code and run state of each kind of
// response that the load balancer generates itself.
func TestGeneratedResponses(t *testing.T) {
	sum := sha256.Sum256([]byte("right"))
	withKey := func(c *kqcontract.Contract) { c.Keys = []string{"sha256:" + hex.EncodeToString(sum[:])} }
	shortDeadline := func(c *kqcontract.Contract) { c.Services[0].Deadline = kqcontract.Duration(300 * time.Millisecond) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server notices that the caller left only after the body is read
		<-r.Context().Done()
	}
	die := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(kqheader.Run, kqheader.RunNo)
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name   string
		target http.HandlerFunc
		modify func(*kqcontract.Contract)
		method string
		body   string
		header []string
		status int
		code   string
		run    string
	}{
		{"no owner", echoRequestBody, nil, "GET", "", []string{kqheader.Owner, ""}, 400, "malformed", kqheader.RunNo},
		{"unknown owner", echoRequestBody, nil, "GET", "", []string{kqheader.Owner, "p"}, 404, "owner", kqheader.RunNo},
		{"unknown service", echoRequestBody, nil, "GET", "", []string{kqheader.Service, "p"}, 404, "service", kqheader.RunNo},
		{"bad deadline", echoRequestBody, nil, "GET", "", []string{kqheader.Deadline, "soon"}, 400, "malformed", kqheader.RunNo},
		{"nested too deeply", echoRequestBody, nil, "GET", "", []string{kqheader.Depth, "10"}, 400, "malformed", kqheader.RunNo},
		{"body too large", echoRequestBody, nil, "POST", strings.Repeat("x", 1001), nil, 400, "body", kqheader.RunNo},
		{"no key", echoRequestBody, withKey, "GET", "", nil, 401, "key", kqheader.RunNo},
		{"wrong key", echoRequestBody, withKey, "GET", "", []string{"Authorization", "Bearer wrong"}, 401, "key", kqheader.RunNo},
		{"over the rate", echoRequestBody, func(c *kqcontract.Contract) { c.Services[0].Rate = 0.001 }, "GET", "", nil, 429, "rate", kqheader.RunNo},
		{"deadline passes", hang, shortDeadline, "POST", "x", nil, 504, "late", kqheader.RunUnknown},
		{"target closes the connection", die, nil, "POST", "x", nil, 502, "broken", kqheader.RunUnknown},
		{"status that is none", raw("HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), nil, "POST", "x", nil, 502, "broken", kqheader.RunUnknown},
		{"field name with a blank", raw("HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 2\r\n\r\nok"), nil, "POST", "x", nil, 502, "broken", kqheader.RunUnknown},
		{"target refuses", refuse, nil, "POST", "x", nil, 503, "target", kqheader.RunNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.target, c.modify)
			res, body, err := f.do(t, c.method, c.body, c.header...)
			if err != nil {
				t.Fatal(err)
			}
			var p problem
			if err := json.Unmarshal([]byte(body), &p); err != nil {
				t.Fatalf("%q: %v", body, err)
			}
			if res.StatusCode != c.status || p.Error != c.code || p.Run != c.run || res.Header.Get(kqheader.Run) != c.run {
				t.Fatalf("%d %s", res.StatusCode, body)
			}
		})
	}
}

// raw returns a target that writes the bytes as its response and closes the connection.
func raw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		io.WriteString(c, response)
	}
}

func TestContractKeyIsNotForwarded(t *testing.T) {
	sum := sha256.Sum256([]byte("right"))
	seen := make(chan string, 1)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Authorization") },
		func(c *kqcontract.Contract) { c.Keys = []string{"sha256:" + hex.EncodeToString(sum[:])} })
	res, _, err := f.do(t, http.MethodGet, "", "Authorization", "Bearer right")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", res, err)
	}
	if got := <-seen; got != "" {
		t.Fatalf("target saw %q", got)
	}
}

// TestNonIdempotentCallIsSentOnce guards against a second run of a call: the target
// closes the connection without a response, so the call may already have run.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	cases := []struct {
		method   string
		header   []string
		attempts int64
	}{
		{"POST", nil, 1},
		{"POST", []string{kqheader.IdempotencyKey, "k1"}, 1},
		{"GET", nil, 1}, // safe to repeat, but there is only one target
	}
	for _, c := range cases {
		f := newFixture(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil)
		if _, _, err := f.do(t, c.method, "x", c.header...); err != nil {
			t.Fatal(err)
		}
		if n := f.targetCalls.Load(); n != c.attempts {
			t.Fatalf("%s %v: the target saw %d calls", c.method, c.header, n)
		}
	}
}

// TestStopTakesWhatEndsInTime guards against calls that are sent although they may outlast
// the shutdown of the host, and are cut when it ends.
func TestStopTakesWhatEndsInTime(t *testing.T) {
	f := newFixture(t, echoRequestBody, nil)
	f.engine.Stop(time.Now().Add(3 * time.Second))
	res, _, err := f.do(t, http.MethodPost, "filing", kqheader.Deadline, "1000")
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("in time: %v %v", res, err)
	}
	res, _, err = f.do(t, http.MethodPost, "filing")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(kqheader.Run) != kqheader.RunNo || !res.Close {
		t.Errorf("may outlast the stop: %v %v", res, err)
	}
	if n := f.targetCalls.Load(); n != 1 {
		t.Errorf("%d calls at the target, want 1", n)
	}
}
