package kqproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// fakeTarget is a TCP server that answers probes itself and passes all other requests
// to a responder.
type fakeTarget struct {
	listener    net.Listener
	arrivals    atomic.Int64
	closed      chan struct{} // receives a value when a connection ends that the responder gave up
	lastRequest atomic.Pointer[http.Request]
	probes      atomic.Int64
	load        func(n int64) string // load reported at the n-th probe; nil reports nextLoad
	nextLoad    atomic.Pointer[string]
	probeDelay  atomic.Int64           // delay of the answer to a probe, in nanoseconds
	refuses     atomic.Bool            // probes are refused, as by a full target
	cold        atomic.Pointer[string] // cold field of the answers to probes, nil: none
	probeReply  atomic.Pointer[string] // raw answer to the next probe, nil: as the other fields say
	lastBody    atomic.Pointer[string]
}

// setLoad sets the load that the target reports at its next probes.
func (f *fakeTarget) setLoad(load string) { f.nextLoad.Store(&load) }

// setCold sets the cold field of the answers to probes.
func (f *fakeTarget) setCold(cold string) { f.cold.Store(&cold) }

// responder writes a raw response to c. If it returns false, the connection serves no
// further request.
type responder func(c net.Conn, r *http.Request) bool

func startTarget(t *testing.T, respond responder) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{listener: l, closed: make(chan struct{}, 16)}
	f.setLoad("0,0,4,100")
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, respond)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn, respond responder) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			load := *f.nextLoad.Load()
			if n := f.probes.Add(1); f.load != nil {
				load = f.load(n)
			}
			time.Sleep(time.Duration(f.probeDelay.Load()))
			if raw := f.probeReply.Swap(nil); raw != nil {
				io.WriteString(c, *raw)
				continue
			}
			if f.refuses.Load() {
				replyNotExecuted(c, req)
				continue
			}
			cold := ""
			if p := f.cold.Load(); p != nil {
				cold = DefaultHeaderNames.Cold + ": " + *p + "\r\n"
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", DefaultHeaderNames.Load, load, cold)
			continue
		}
		f.arrivals.Add(1)
		f.lastRequest.Store(req)
		if req.Header.Get("Early") == "" {
			p, _ := io.ReadAll(req.Body)
			s := string(p)
			f.lastBody.Store(&s)
		}
		if !respond(c, req) {
			// Reading until the end shows when the other end closes the connection.
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			io.Copy(io.Discard, r)
			f.closed <- struct{}{}
			return
		}
	}
}

// replyHead returns the start of a valid response to the request, up to and including
// more.
func replyHead(r *http.Request, status, more string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: s1\r\n%s", status, DefaultHeaderNames.RequestID, r.Header.Get(DefaultHeaderNames.RequestID), DefaultHeaderNames.Seal, more)
}

func replyOK(c net.Conn, r *http.Request) bool {
	io.WriteString(c, replyHead(r, "200 OK", "Content-Length: 5\r\n\r\nwhole"))
	return true
}

// resetConn closes the connection with a TCP reset.
func resetConn(c net.Conn, _ *http.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	return true
}

// replyNotExecuted refuses the request without executing it, as an overloaded target
// does.
func replyNotExecuted(c net.Conn, _ *http.Request) bool {
	io.WriteString(c, "HTTP/1.1 503 Full\r\n"+DefaultHeaderNames.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// replyWith returns a responder that writes the formatted response and, unless keep is
// set, closes the connection for writing.
func replyWith(format func(*http.Request) string, keep bool) responder {
	return func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, format(r))
		if !keep {
			c.(*net.TCPConn).CloseWrite()
		}
		return keep
	}
}
