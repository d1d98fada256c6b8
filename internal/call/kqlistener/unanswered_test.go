package kqlistener

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/host/kqlog"

	"github.com/rcrowley/go-metrics"
)

// logBuffer keeps what is logged.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startRecording starts a server as start does, whose listener frames requests, and
// returns what it records.
func startRecording(t *testing.T, headerTimeout time.Duration) (s *server, registry metrics.Registry, lines func() string, stop func()) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := &logBuffer{}
	registry = metrics.NewRegistry()
	s = &server{
		addr: raw.Addr().String(), listener: Open(Config{Listener: raw, Log: kqlog.To(out), Metrics: registry}),
		release: make(chan struct{}), left: make(chan string, 16),
	}
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/close") {
			w.Header().Set("Connection", "close")
		}
		s.ServeHTTP(w, r)
		if strings.HasSuffix(r.URL.Path, "/panic") {
			panic(http.ErrAbortHandler)
		}
	})
	srv := &http.Server{
		Handler: s.listener.Handler(serve), ConnContext: s.listener.ConnContext, ConnState: s.listener.ConnState, ReadHeaderTimeout: headerTimeout,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(s.listener)
	}()
	stop = func() {
		srv.Close()
		<-done
	}
	t.Cleanup(func() {
		stop()
		time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
	})
	return s, registry, out.text, stop
}

// TestRecordsUnansweredRequests guards against bytes of a request that were read, get no
// answer and leave no trace by which the reason can be told.
func TestRecordsUnansweredRequests(t *testing.T) {
	post := "POST /behind HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
	cases := []struct {
		name, sent string
		act        func(s *server, c *net.TCPConn, stop func())
		cause      closeCause // empty: nothing to record
	}{
		{"a closing response", request("/wait/close") + post, func(s *server, _ *net.TCPConn, _ func()) { close(s.release) }, causeClosing},
		{"the end of the stop", request("/wait") + post, func(_ *server, _ *net.TCPConn, stop func()) { stop() }, causeStop},
		{"a part, at the end of the stop", request("/r") + post[:20], func(_ *server, _ *net.TCPConn, stop func()) { stop() }, causeStop},
		{"a caller that leaves", request("/wait") + post, func(_ *server, c *net.TCPConn, _ func()) { c.Close() }, causeLeft},
		{"a part in time only", request("/r") + post[:20], func(*server, *net.TCPConn, func()) {}, causeTimeout},
		{"a response that breaks off", request("/wait/panic") + post, func(s *server, _ *net.TCPConn, _ func()) { close(s.release) }, causeBroken},
		{"a malformed request", request("/r") + "GET\r\n\r\n" + post, func(*server, *net.TCPConn, func()) {}, causeMalformed},
		{"nothing behind a malformed request", request("/r") + "GET\r\n\r\n", func(*server, *net.TCPConn, func()) {}, ""},
		{"nothing behind a closing response", request("/close"), func(*server, *net.TCPConn, func()) {}, ""},
		{"a body that is not read", "POST /close HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde", func(*server, *net.TCPConn, func()) {}, ""},
		{"a caller that leaves after its answer", request("/r"), func(_ *server, c *net.TCPConn, _ func()) {
			c.Read(make([]byte, 1))
			c.Close()
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			headerTimeout := 5 * time.Second
			if tc.cause == causeTimeout {
				headerTimeout = 100 * time.Millisecond
			}
			s, registry, lines, stop := startRecording(t, headerTimeout)
			c := s.dial(t)
			io.WriteString(c, tc.sent)
			waitFor(t, "the first request runs", func() bool { return len(s.served()) == 1 })
			time.Sleep(20 * time.Millisecond) // what follows is read
			tc.act(s, c, stop)
			if tc.cause == "" {
				time.Sleep(50 * time.Millisecond)
			} else {
				waitFor(t, "the counter of "+string(tc.cause), func() bool {
					return metrics.GetOrRegisterCounter("callers.unanswered."+string(tc.cause), registry).Count() == 1
				})
			}
			text := lines()
			if n := strings.Count(text, "gets no answer"); (tc.cause != "") != (n == 1) {
				t.Errorf("%d lines: %s", n, text)
			}
			if tc.cause != "" && !strings.Contains(text, `"cause":"`+string(tc.cause)+`"`) {
				t.Errorf("want cause %q: %s", tc.cause, text)
			}
			for _, cause := range closeCauses {
				if got := metrics.GetOrRegisterCounter("callers.unanswered."+string(cause), registry).Count(); (cause == tc.cause) != (got == 1) {
					t.Errorf("counter %s: %d", cause, got)
				}
			}
		})
	}
}

// TestFraming guards against a server that holds bytes of a further request while a handler
// runs, however the bytes arrive.
func TestFraming(t *testing.T) {
	const chunked = "5\r\na\nb\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n"
	cases := []struct {
		name string
		body int64
		sent string
		ends int // at which a split must be
	}{
		{"head", 0, request("/r"), len(request("/r"))},
		{"head with bare line ends", 0, "GET / HTTP/1.1\nHost: x\n\n", 24},
		{"head behind an empty line", 0, "\r\n" + request("/r"), 2 + len(request("/r"))},
		{"body with a length", 5, "ab\n\nc", 5},
		{"body in chunks", 0, chunked, len(chunked)},
		{"body in chunks with a trailer", 0, "0\r\nX: y\r\n\r\n", 11},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size < len(c.sent)+10; size++ {
				f := framing{body: c.body}
				all := c.sent + request("/behind")
				for at := 0; at < c.ends; {
					p := []byte(all[at:min(at+size, len(all))])
					n := f.hand(p)
					if n == 0 || n > len(p) {
						t.Fatalf("pieces of %d bytes: handed %d of %d", size, n, len(p))
					}
					if at += n; at > c.ends {
						t.Fatalf("pieces of %d bytes: handed up to %d, want a split at %d", size, at, c.ends)
					}
				}
				if f.handed != 0 {
					t.Errorf("pieces of %d bytes: %d bytes handed since the split", size, f.handed)
				}
			}
		})
	}
}

// TestFramingBoundsWhatWaits guards against a long chunk that is read at once and then waits in
// memory, because it has empty lines.
func TestFramingBoundsWhatWaits(t *testing.T) {
	p := make([]byte, 1<<20)
	var f framing
	if n := len(f.within(p)); n > maxAhead {
		t.Errorf("%d bytes of a body in chunks are read at once", n)
	}
	f.body = 1 << 19
	if n := len(f.within(p)); n != 1<<19 {
		t.Errorf("%d bytes of a body with a length are read at once, want all of it", n)
	}
}

// accept returns both ends of a connection whose server is played by the test.
func accept(t *testing.T, cfg Config) (l *Listener, mine *conn, caller net.Conn) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listener = raw
	l = Open(cfg)
	caller, err = net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		caller.Close()
		l.Close()
	})
	return l, c.(*conn), caller
}

// TestByteBeforeHandler guards against a further request of which the server reads the first
// byte before the handler of the current one starts, and that is then forgotten.
func TestByteBeforeHandler(t *testing.T) {
	_, c, caller := accept(t, Config{Log: kqlog.Discard(), Metrics: metrics.NewRegistry()})
	io.WriteString(caller, request("/r")+"G")
	p := make([]byte, 4096)
	if n, err := c.Read(p); err != nil || n != len(request("/r")) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if n, err := c.Read(p[:1]); err != nil || n != 1 {
		t.Fatalf("%d bytes, %v", n, err)
	}
	c.begin(0)
	if !c.moreArrived(true) {
		t.Error("the byte of a further request is not seen")
	}
	c.SetReadDeadline(past) // ends readAhead
}

// TestRecordsWholeHead guards against a request whose head was read whole and whose handler does
// not start, because the server is closed at that moment, without a trace.
func TestRecordsWholeHead(t *testing.T) {
	registry := metrics.NewRegistry()
	l, c, caller := accept(t, Config{Log: kqlog.Discard(), Metrics: registry})
	io.WriteString(caller, request("/r"))
	if n, err := c.Read(make([]byte, 4096)); err != nil || n != len(request("/r")) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	l.Close()
	c.Close()
	if n := metrics.GetOrRegisterCounter("callers.unanswered.stop", registry).Count(); n != 1 {
		t.Errorf("%d recorded, want 1", n)
	}
}
