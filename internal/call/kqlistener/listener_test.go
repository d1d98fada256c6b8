package kqlistener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// server serves requests whose path says what to do, and records their paths.
type server struct {
	addr     string
	listener *Listener
	release  chan struct{} // lets requests to /wait end
	left     chan string   // receives the path of a request whose caller left

	mu    sync.Mutex
	paths []string
}

func start(t *testing.T) *server {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: raw.Addr().String(), listener: New(raw), release: make(chan struct{}), left: make(chan string, 16)}
	srv := &http.Server{Handler: s, ConnContext: s.listener.ConnContext, ConnState: s.listener.ConnState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(s.listener)
	}()
	t.Cleanup(func() {
		srv.Close()
		<-done
		time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
	})
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.paths = append(s.paths, r.URL.Path)
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/close") {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, "/wait") {
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.left <- r.URL.Path
			panic(http.ErrAbortHandler)
		}
	}
	if strings.HasPrefix(r.URL.Path, "/slow") {
		time.Sleep(time.Millisecond)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	io.WriteString(w, r.URL.Path)
}

func (s *server) served() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.paths)
}

func (s *server) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*net.TCPConn)
}

func request(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) }

// readAll returns the bodies of the responses on the connection until it ends.
func readAll(c net.Conn) (bodies []string, err error) {
	r := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return bodies, err
		}
		p, err := io.ReadAll(res.Body)
		if err != nil {
			return bodies, err
		}
		bodies = append(bodies, string(p))
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// TestRequestsBehindEachOther checks that requests which were sent before the first one
// was answered are answered in their order, and that none behind a closing response runs.
func TestRequestsBehindEachOther(t *testing.T) {
	s := start(t)
	c := s.dial(t)
	var all string
	for i := range 40 {
		all += request(fmt.Sprintf("/r%d", i))
	}
	io.WriteString(c, all+request("/close")+request("/behind")+request("/behind"))
	bodies, err := readAll(c)
	if err != io.ErrUnexpectedEOF && err != io.EOF {
		t.Errorf("ended with %v, want the end of the connection", err)
	}
	if len(bodies) != 41 || bodies[0] != "/r0" || bodies[39] != "/r39" || bodies[40] != "/close" {
		t.Errorf("responses %v", bodies)
	}
	if got := s.served(); len(got) != 41 {
		t.Errorf("%d requests ran, want 41: %v", len(got), got)
	}
}

// TestCloseDoesNotReset guards against a reset that can overtake the last response, because
// requests that the caller sent behind it were never read.
func TestCloseDoesNotReset(t *testing.T) {
	s := start(t)
	for range 10 {
		c := s.dial(t)
		io.WriteString(c, request("/close")+strings.Repeat(request("/behind"), 4000))
		bodies, err := readAll(c)
		if len(bodies) != 1 || bodies[0] != "/close" || errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("responses %v, then %v", bodies, err)
		}
		c.Close()
	}
}

// TestCallerLeavesWithRequestsBehind guards against requests that run although their
// caller left, because further requests wait behind them.
func TestCallerLeavesWithRequestsBehind(t *testing.T) {
	for _, behind := range []int{0, 1, 30} {
		t.Run(fmt.Sprint(behind), func(t *testing.T) {
			s := start(t)
			c := s.dial(t)
			io.WriteString(c, request("/wait"))
			waitFor(t, "the request runs", func() bool { return len(s.served()) == 1 })
			for range behind {
				io.WriteString(c, request("/behind"))
				time.Sleep(time.Millisecond) // each arrives on its own
			}
			c.Close()
			select {
			case <-s.left:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the request still runs 500 ms after its caller left")
			}
			time.Sleep(20 * time.Millisecond)
			if got := s.served(); len(got) != 1 {
				t.Errorf("requests of a caller that left ran: %v", got)
			}
		})
	}
}

// TestDrain checks that a stop ends connections without losing a request that was read.
func TestDrain(t *testing.T) {
	s := start(t)
	idle, busy, late := s.dial(t), s.dial(t), s.dial(t)
	io.WriteString(idle, request("/first"))
	io.WriteString(busy, request("/first")+request("/wait"))
	waitFor(t, "the requests run", func() bool { return len(s.served()) == 3 })
	drained := make(chan error, 1)
	go func() { drained <- s.listener.Drain(t.Context()) }()
	if bodies, err := readAll(idle); len(bodies) != 1 || err == nil {
		t.Errorf("idle connection: %v %v, want one response and the end", bodies, err)
	}
	// Accepted before the stop, the request comes after it.
	io.WriteString(late, request("/late"))
	if res, err := http.ReadResponse(bufio.NewReader(late), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("late request: %v %v", res, err)
	}
	select {
	case err := <-drained:
		t.Fatalf("drained with a request in progress: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(s.release)
	if bodies, _ := readAll(busy); len(bodies) != 2 || bodies[1] != "/wait" {
		t.Errorf("request in progress: %v", bodies)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainUnderLoad guards against requests that are read and never answered because the
// connection is ended at that very moment.
func TestDrainUnderLoad(t *testing.T) {
	s := start(t)
	const callers = 40
	var wg sync.WaitGroup
	answered := make([]int, callers)
	for i := range callers {
		c := s.dial(t)
		wg.Go(func() {
			r := bufio.NewReader(c)
			for {
				if _, err := io.WriteString(c, request(fmt.Sprintf("/slow%d", i))); err != nil {
					return
				}
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					return
				}
				io.Copy(io.Discard, res.Body)
				answered[i]++
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.listener.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	ran := map[string]int{}
	for _, path := range s.served() {
		ran[path]++
	}
	for i, n := range answered {
		if ran[fmt.Sprintf("/slow%d", i)] != n {
			t.Errorf("caller %d: %d requests read, %d answered", i, ran[fmt.Sprintf("/slow%d", i)], n)
		}
	}
}

// TestRetiredConnectionReadsWhatArrived guards against a connection that is closed as idle
// although a request has arrived on it, which its server had no time to read.
func TestRetiredConnectionReadsWhatArrived(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(raw)
	defer l.Close()
	caller, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.ConnState(c, http.StateIdle) // a request was served
	io.WriteString(caller, "GET")
	time.Sleep(20 * time.Millisecond) // the bytes arrive
	l.retire()
	p := make([]byte, 16)
	if n, err := c.Read(p); err != nil || string(p[:n]) != "GET" {
		t.Errorf("read %q, %v, want what arrived", p[:n], err)
	}
	l.ConnState(c, http.StateIdle) // answered
	if n, err := c.Read(p); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, want the end", n, err)
	}
}

// TestStopAccepting checks that open connections go on once nothing is accepted any more,
// and that connections without a request are not waited for.
func TestStopAccepting(t *testing.T) {
	s := start(t)
	busy, fresh := s.dial(t), s.dial(t)
	io.WriteString(busy, request("/wait"))
	waitFor(t, "the request runs, and both connections are accepted", func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		return len(s.served()) == 1 && len(s.listener.conns) == 2
	})
	if err := s.listener.StopAccepting(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", s.addr); err == nil {
		c.Close()
		t.Error("a connection is accepted")
	}
	began := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- s.listener.Drain(t.Context()) }()
	if _, err := fresh.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection without a request: %v, want its end", err)
	}
	if took := time.Since(began); took > newConnGrace/2 {
		t.Errorf("the connection without a request ended after %s", took)
	}
	close(s.release)
	if bodies, _ := readAll(busy); len(bodies) != 1 || bodies[0] != "/wait" {
		t.Errorf("request in progress: %v", bodies)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestCauseTellsResetFromEnd guards against a caller that closed only its sending side and
// is taken for one that certainly left, and against the opposite.
func TestCauseTellsResetFromEnd(t *testing.T) {
	cases := []struct {
		name   string
		behind string
		leave  func(c *net.TCPConn)
		reset  bool
	}{
		{"reset", "", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		{"reset behind a further request", request("/behind"), func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		{"end of the sending side", "", func(c *net.TCPConn) { c.CloseWrite() }, false},
		{"end of the sending side behind a further request", request("/behind"), func(c *net.TCPConn) { c.CloseWrite() }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l, causes, began := New(raw), make(chan error, 1), make(chan struct{})
			srv := &http.Server{ConnContext: l.ConnContext, ConnState: l.ConnState, Handler: l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/wait" {
					return
				}
				close(began)
				<-r.Context().Done()
				causes <- context.Cause(r.Context())
			}))}
			done := make(chan struct{})
			go func() { defer close(done); srv.Serve(l) }()
			t.Cleanup(func() {
				srv.Close()
				<-done
				time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
			})
			c, err := net.Dial("tcp", raw.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, request("/wait"))
			<-began
			if tc.behind != "" {
				io.WriteString(c, tc.behind)
				time.Sleep(20 * time.Millisecond) // it arrives on its own
			}
			tc.leave(c.(*net.TCPConn))
			select {
			case cause := <-causes:
				if reset := errors.Is(cause, syscall.ECONNRESET); reset != tc.reset {
					t.Errorf("cause %v, reset: want %t", cause, tc.reset)
				}
			case <-time.After(5 * time.Second):
				t.Error("the context has not ended")
			}
		})
	}
}
