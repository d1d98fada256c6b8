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

// world is an engine with one target.
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

func newFixture(t *testing.T, target http.HandlerFunc, change func(*kqcontract.Contract)) *fixture {
	t.Helper()
	w := &fixture{}
	back := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.targetCalls.Add(1)
		target(rw, r)
	}))
	back.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			w.targetConns.Add(1)
		}
	}
	back.Start()
	t.Cleanup(back.Close)
	contract := &kqcontract.Contract{Owner: "o", Version: 7, Services: []kqcontract.Service{service()}}
	if change != nil {
		change(contract)
	}
	view := &kqfeed.View{Revision: 1, Contracts: map[string]*kqcontract.Contract{"o": contract}}
	w.engine = NewEngine(Config{
		Host: "e1", Policy: func() kq.Policy { return kqpolicy.LeastExpectedTime{} }, Clock: kqclock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
		Events: kqevent.NewRecorder("e1", time.Now), Metrics: metrics.NewRegistry(), View: func() *kqfeed.View { return view },
		LimitFraction: func(string, string) float64 { return 1 },
	})
	t.Cleanup(w.engine.Close)
	w.engine.ApplyView(nil, view)
	w.engine.TargetUpdated(kqdirectory.Record{
		Service: "kekhai", ID: "k1", Addr: strings.TrimPrefix(back.URL, "http://"), Domain: "a",
		Slots: 4, Connections: 220, State: kqdirectory.Ready, Epoch: 1, Seq: 1,
	})
	w.server = httptest.NewServer(w.engine)
	t.Cleanup(w.server.Close)
	time.Sleep(20 * time.Millisecond) // the empty bucket fills
	return w
}

func (w *fixture) do(t *testing.T, method, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, w.server.URL+"/filings?x=1", strings.NewReader(body))
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
	w := newFixture(t, echoRequestBody, nil)
	for range 20 {
		res, body, err := w.do(t, http.MethodPost, "filing")
		if err != nil || res.StatusCode != http.StatusOK || body != "filing" || res.Header.Get("X-Path") != "/filings?x=1" {
			t.Fatalf("%v %q %v", res, body, err)
		}
	}
	if n := w.targetConns.Load(); n != 1 {
		t.Fatalf("%d connections for calls one after the other", n)
	}
}

func TestTruncatedResponseFailsCaller(t *testing.T) {
	w := newFixture(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		io.WriteString(rw, "short")
		http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}, nil)
	res, body, err := w.do(t, http.MethodGet, "")
	if err == nil {
		t.Fatalf("a short answer looks whole: %d %q", res.StatusCode, body)
	}
}

func TestTrailersAreForwarded(t *testing.T) {
	w := newFixture(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Trailer", "X-Sum")
		io.WriteString(rw, "body")
		http.NewResponseController(rw).Flush()
		rw.Header().Set("X-Sum", "17")
	}, nil)
	res, body, err := w.do(t, http.MethodGet, "")
	if err != nil || body != "body" || res.Trailer.Get("X-Sum") != "17" {
		t.Fatalf("%q %v, trailer %v", body, err, res.Trailer)
	}
}

// TestOwnAnswers holds the shape of every answer that the system makes.
func TestGeneratedResponses(t *testing.T) {
	sum := sha256.Sum256([]byte("right"))
	keyed := func(c *kqcontract.Contract) { c.Keys = []string{"sha256:" + hex.EncodeToString(sum[:])} }
	slow := func(c *kqcontract.Contract) { c.Services[0].Deadline = kqcontract.Duration(300 * time.Millisecond) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // only then does the server notice that the caller left
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
		change func(*kqcontract.Contract)
		method string
		body   string
		header []string
		status int
		word   string
		run    string
	}{
		{"no owner", echoRequestBody, nil, "GET", "", []string{kqheader.Owner, ""}, 400, "malformed", kqheader.RunNo},
		{"unknown owner", echoRequestBody, nil, "GET", "", []string{kqheader.Owner, "p"}, 404, "owner", kqheader.RunNo},
		{"unknown service", echoRequestBody, nil, "GET", "", []string{kqheader.Service, "p"}, 404, "service", kqheader.RunNo},
		{"bad deadline", echoRequestBody, nil, "GET", "", []string{kqheader.Deadline, "soon"}, 400, "malformed", kqheader.RunNo},
		{"too deep", echoRequestBody, nil, "GET", "", []string{kqheader.Depth, "10"}, 400, "malformed", kqheader.RunNo},
		{"body too large", echoRequestBody, nil, "POST", strings.Repeat("x", 1001), nil, 400, "body", kqheader.RunNo},
		{"no key", echoRequestBody, keyed, "GET", "", nil, 401, "key", kqheader.RunNo},
		{"wrong key", echoRequestBody, keyed, "GET", "", []string{"Authorization", "Bearer wrong"}, 401, "key", kqheader.RunNo},
		{"over the rate", echoRequestBody, func(c *kqcontract.Contract) { c.Services[0].Rate = 0.001 }, "GET", "", nil, 429, "rate", kqheader.RunNo},
		{"late", hang, slow, "POST", "x", nil, 504, "late", kqheader.RunUnknown},
		{"target dies", die, nil, "POST", "x", nil, 502, "broken", kqheader.RunUnknown},
		{"target refuses", refuse, nil, "POST", "x", nil, 503, "target", kqheader.RunNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, c.target, c.change)
			res, body, err := w.do(t, c.method, c.body, c.header...)
			if err != nil {
				t.Fatal(err)
			}
			var p problem
			if err := json.Unmarshal([]byte(body), &p); err != nil {
				t.Fatalf("%q: %v", body, err)
			}
			if res.StatusCode != c.status || p.Error != c.word || p.Run != c.run || res.Header.Get(kqheader.Run) != c.run {
				t.Fatalf("%d %s", res.StatusCode, body)
			}
		})
	}
}

func TestContractKeyIsNotForwarded(t *testing.T) {
	sum := sha256.Sum256([]byte("right"))
	seen := make(chan string, 1)
	w := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Authorization") },
		func(c *kqcontract.Contract) { c.Keys = []string{"sha256:" + hex.EncodeToString(sum[:])} })
	res, _, err := w.do(t, http.MethodGet, "", "Authorization", "Bearer right")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", res, err)
	}
	if got := <-seen; got != "" {
		t.Fatalf("target saw %q", got)
	}
}

// TestUnsafeCallIsNeverSentTwice lets the target die under calls of all sorts.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	cases := []struct {
		method string
		header []string
		sends  int64
	}{
		{"POST", nil, 1},
		{"POST", []string{kqheader.IdempotencyKey, "k1"}, 1},
		{"GET", nil, 1}, // safe to repeat, but there is only one target
	}
	for _, c := range cases {
		w := newFixture(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil)
		if _, _, err := w.do(t, c.method, "x", c.header...); err != nil {
			t.Fatal(err)
		}
		if n := w.targetCalls.Load(); n != c.sends {
			t.Fatalf("%s %v: the target saw %d calls", c.method, c.header, n)
		}
	}
}
