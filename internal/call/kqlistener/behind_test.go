package kqlistener

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// startClosing starts a server whose responses have the body of the request and close the
// connection unless more has arrived.
func startClosing(t *testing.T) (l *Listener, dial func() net.Conn) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = New(raw)
	srv := &http.Server{ConnContext: l.ConnContext, ConnState: l.ConnState}
	srv.Handler = l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if !MoreArrived(r.Context(), true) {
			w.Header().Set("Connection", "close")
		}
		io.WriteString(w, r.URL.Path+string(p))
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	t.Cleanup(func() {
		srv.Close()
		<-done
		time.Sleep(lingerTime + 50*time.Millisecond) // connections that linger
	})
	return l, func() net.Conn {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		return c
	}
}

// randomRequest returns a request and the body of its response.
func randomRequest(rnd *rand.Rand, path string) (sent, answer string) {
	text := make([]byte, rnd.IntN(6000))
	for i := range text {
		text[i] = "\r\n\n0a"[rnd.IntN(5)]
	}
	const head = "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n"
	switch rnd.IntN(4) {
	case 0:
		return request(path), path
	case 1:
		return fmt.Sprintf(head, path, "X: "+strings.Repeat("y", rnd.IntN(6000))+"\r\nContent-Length: 0"), path
	case 2:
		return fmt.Sprintf(head, path, fmt.Sprintf("Content-Length: %d", len(text))) + string(text), path + string(text)
	}
	var b strings.Builder
	fmt.Fprintf(&b, head, path, "Transfer-Encoding: chunked")
	for rest := text; len(rest) > 0; {
		n := 1 + rnd.IntN(len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n")
	if rnd.IntN(2) == 0 {
		b.WriteString("X-Sum: 1\r\n")
	}
	b.WriteString("\r\n")
	return b.String(), path + string(text)
}

// TestRequestsInPieces guards against requests behind each other that are dropped, or bodies
// that are changed, depending on how their bytes arrive.
func TestRequestsInPieces(t *testing.T) {
	_, dial := startClosing(t)
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		var all string
		var want []string
		for i := range 1 + rnd.IntN(8) {
			sent, answer := randomRequest(rnd, fmt.Sprintf("/r%d", i))
			all, want = all+sent, append(want, answer)
		}
		c := dial()
		go func() {
			for len(all) > 0 {
				n := min(len(all), 1+rnd.IntN(8000))
				if rnd.IntN(8) == 0 {
					n = 1
				}
				io.WriteString(c, all[:n])
				all = all[n:]
			}
		}()
		r := bufio.NewReader(c)
		for i, answer := range want {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("seed %d, response %d of %d: %v", seed, i, len(want), err)
			}
			p, err := io.ReadAll(res.Body)
			if err != nil || string(p) != answer {
				t.Fatalf("seed %d, response %d of %d: %d bytes, %v, want %d", seed, i, len(want), len(p), err, len(answer))
			}
			// A request that is not there yet when the one before is answered crosses the close.
			if res.Close {
				break
			}
		}
		c.Close()
	}
}

// TestWholeBatchIsAnswered guards against requests that arrived before the first response and
// are dropped with their connection.
func TestWholeBatchIsAnswered(t *testing.T) {
	_, dial := startClosing(t)
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 8))
		var all string
		var want []string
		for i := range 2 + rnd.IntN(8) {
			sent, answer := randomRequest(rnd, fmt.Sprintf("/r%d", i))
			all, want = all+sent, append(want, answer)
		}
		first, firstAnswer := "POST /first HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n", "/firstbody"
		c := dial()
		io.WriteString(c, first)
		time.Sleep(5 * time.Millisecond)
		io.WriteString(c, "body"+all)
		bodies, err := readAll(c)
		if len(bodies) != len(want)+1 || bodies[0] != firstAnswer {
			t.Fatalf("seed %d: %d responses, then %v, want %d", seed, len(bodies), err, len(want)+1)
		}
		for i, answer := range want {
			if bodies[i+1] != answer {
				t.Fatalf("seed %d, response %d: %d bytes, want %d", seed, i, len(bodies[i+1]), len(answer))
			}
		}
	}
}

// TestEndlessSender guards against a caller that never stops sending and so holds up the stop,
// or takes memory without bound.
func TestEndlessSender(t *testing.T) {
	l, dial := startClosing(t)
	c := dial()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		batch := bytes.Repeat([]byte(request("/r")), 100)
		for {
			if _, err := c.Write(batch); err != nil {
				return
			}
		}
	}()
	answered := make(chan int)
	go func() {
		bodies, _ := readAll(c)
		answered <- len(bodies)
	}()
	time.Sleep(200 * time.Millisecond)
	l.mu.Lock()
	for c := range l.conns {
		c.mu.Lock()
		if len(c.ahead) > maxAhead+aheadChunk {
			t.Errorf("%d bytes read ahead", len(c.ahead))
		}
		c.mu.Unlock()
	}
	l.mu.Unlock()
	if err := l.StopAccepting(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := l.Drain(ctx); err != nil {
		t.Errorf("the stop is held up: %v", err)
	}
	<-sent
	if n := <-answered; n < 1000 {
		t.Errorf("%d requests answered", n)
	}
}

// TestCallerLeavesBehindAnswered guards against requests that run although their caller left,
// because further requests had arrived together with an earlier one.
func TestCallerLeavesBehindAnswered(t *testing.T) {
	s := start(t)
	c := s.dial(t)
	io.WriteString(c, request("/r")+request("/wait")+strings.Repeat(request("/behind"), 3))
	waitFor(t, "the second request runs", func() bool { return len(s.served()) == 2 })
	c.Close()
	select {
	case <-s.left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request still runs 500 ms after its caller left")
	}
}

// TestDeadlineLeavesNothingUnread guards against a request that has arrived before the server
// finds, late, that the time for it is over: the read would return nothing.
func TestDeadlineLeavesNothingUnread(t *testing.T) {
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
	c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	io.WriteString(caller, request("/r"))
	time.Sleep(20 * time.Millisecond) // the bytes arrive, and the deadline passes
	p := make([]byte, 100)
	if n, err := c.Read(p); err != nil || string(p[:n]) != request("/r") {
		t.Errorf("read %q, %v, want what arrived", p[:n], err)
	}
	if n, err := c.Read(p); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v, want the end of the time", n, err)
	}
}

// TestLongBodyIsNoEndlessSender guards against a request that is dropped in a hurried stop because
// the body of the one before was long.
func TestLongBodyIsNoEndlessSender(t *testing.T) {
	for _, framing := range []string{"Content-Length: %d\r\n\r\n%[2]s", "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"} {
		l, dial := startClosing(t)
		c := dial()
		size := 4 * maxAhead
		sent := "POST /r HTTP/1.1\r\nHost: x\r\n" + fmt.Sprintf(framing, size, strings.Repeat("a", size)) + request("/behind")
		io.WriteString(c, sent[:1000])
		time.Sleep(20 * time.Millisecond)
		if err := l.StopAccepting(); err != nil {
			t.Fatal(err)
		}
		l.retire()
		io.WriteString(c, sent[1000:])
		if bodies, err := readAll(c); len(bodies) != 2 {
			t.Errorf("%d responses, then %v, want 2", len(bodies), err)
		}
	}
}
