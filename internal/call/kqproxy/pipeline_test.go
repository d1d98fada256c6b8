package kqproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/call/kqlistener"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqroutes"
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

// TestLogsWhatIsCut guards against requests that are cut by the end of the host and leave no
// line by their ID.
func TestLogsWhatIsCut(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(c net.Conn, r *http.Request) bool {
		<-release
		return replyOK(c, r)
	})
	out := &logBuffer{}
	f.engine.cfg.Log = kqlog.To(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.call("/filings/7", "filing")
	}()
	waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
	f.engine.LogCut()
	close(release)
	<-done
	waitFor(t, "the request ends", func() bool { return f.engine.InFlight() == 0 })
	f.engine.LogCut()
	var cut []string
	for line := range strings.SplitSeq(out.text(), "\n") {
		if strings.Contains(line, "cut by the end") {
			cut = append(cut, line)
		}
	}
	if len(cut) != 1 || !strings.Contains(cut[0], `"id":"`) || f.engine.metrics.cut.Count() != 1 {
		t.Errorf("%d counted, lines %q, want one with the ID", f.engine.metrics.cut.Count(), cut)
	}
}

// pipelined is what a caller sends on one connection while the host shuts down.
type pipelined struct {
	name  string
	parts []string      // each sent on its own, the first before the shutdown
	late  string        // sent once the first response is there
	left  time.Duration // of the shutdown
	want  []int         // statuses; the last response alone closes
}

func getRequest(id string) string {
	return fmt.Sprintf("GET /filings/%s HTTP/1.1\r\nHost: index.example\r\n%s: %s\r\n\r\n", id, DefaultHeaderNames.RequestID, id)
}

func chunkedRequest(id string) string {
	return fmt.Sprintf("POST /filings/%s HTTP/1.1\r\nHost: index.example\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfiling \r\n2\r\n\n\n\r\n0\r\n\r\n",
		id, DefaultHeaderNames.RequestID, id)
}

func lengthRequest(id string) string {
	return fmt.Sprintf("POST /filings/%s HTTP/1.1\r\nHost: index.example\r\n%s: %s\r\nContent-Length: 9\r\n\r\nfiling\n\n7", id, DefaultHeaderNames.RequestID, id)
}

const pipelinedWork = 250 * time.Millisecond // of the target on each request

// TestShutdownAnswersWhatHasArrived guards against requests that were read behind another one
// and are dropped with their connection, because a response of the shutdown closed it.
func TestShutdownAnswersWhatHasArrived(t *testing.T) {
	const plenty, little = 20 * time.Second, time.Second // more and less than the route's timeout
	get, chunked, length := getRequest("r0"), chunkedRequest("r1"), lengthRequest("r1")
	cases := []pipelined{
		{"nothing behind", []string{get}, "", plenty, []int{200}},
		{"chunked behind GET, one write", []string{get + chunked}, "", plenty, []int{200, 200}},
		{"chunked behind GET, two writes", []string{get, chunked}, "", plenty, []int{200, 200}},
		{"chunked behind GET, refused", []string{get, chunked}, "", little, []int{200, 503}},
		{"length behind GET", []string{get + length}, "", plenty, []int{200, 200}},
		{"length behind GET, two writes", []string{get, length}, "", plenty, []int{200, 200}},
		{"length behind GET, refused", []string{get + length}, "", little, []int{200, 503}},
		{"GET behind chunked", []string{chunkedRequest("r0") + getRequest("r1")}, "", plenty, []int{200, 200}},
		{"GET behind length", []string{lengthRequest("r0") + getRequest("r1")}, "", plenty, []int{200, 200}},
		{"three", []string{get + chunked, lengthRequest("r2")}, "", plenty, []int{200, 200, 200}},
		{"three, refused", []string{get + chunked, getRequest("r2")}, "", little, []int{200, 503, 503}},
		{"four with bodies, refused", []string{get, chunked + lengthRequest("r2") + chunkedRequest("r3")}, "", little, []int{200, 503, 503, 503}},
		{"a part of a head", []string{get + chunked[:9]}, chunked[9:], plenty, []int{200, 200}},
		{"one byte", []string{get, chunked[:1]}, chunked[1:], plenty, []int{200, 200}},
		{"a part of a body in chunks", []string{get, chunked[:len(chunked)-9]}, chunked[len(chunked)-9:], plenty, []int{200, 200}},
		{"a part of a body with a length", []string{get, length[:len(length)-4]}, length[len(length)-4:], plenty, []int{200, 200}},
		{"a part of a head, refused", []string{get, chunked[:9]}, chunked[9:], little, []int{200, 503}},
		{"behind a request that closes", []string{strings.Replace(get, "Host:", "Connection: close\r\nHost:", 1) + chunked}, "", plenty, []int{200}},
		{"behind HTTP/1.0", []string{strings.Replace(get, "HTTP/1.1", "HTTP/1.0", 1) + chunked}, "", plenty, []int{200}},
		{"a part of a body, refused", []string{get, chunked[:len(chunked)-9]}, "", little, []int{200, 503}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playPipelined(t, c)
		})
	}
}

func playPipelined(t *testing.T, c pipelined) {
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(c net.Conn, r *http.Request) bool {
		time.Sleep(pipelinedWork)
		return replyOK(c, r)
	})
	conn, _ := f.dialListener(t)
	fmt.Fprint(conn, c.parts[0])
	waitFor(t, "the first request runs", func() bool { return f.arrivals() == 1 })
	f.engine.Stop(time.Now().Add(c.left))
	for _, part := range c.parts[1:] {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, part)
	}
	r := bufio.NewReader(conn)
	for i, status := range c.want {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if id := res.Header.Get(DefaultHeaderNames.RequestID); res.StatusCode != status || id != fmt.Sprintf("r%d", i) {
			t.Errorf("response %d: status %d to %s, want %d", i, res.StatusCode, id, status)
		}
		if last := i == len(c.want)-1; res.Close != last {
			t.Errorf("response %d of %d closes: %t", i, len(c.want), res.Close)
		}
		if i == 0 {
			fmt.Fprint(conn, c.late)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want the end of the connection", err)
	}
}

// dialListener serves the engine by a kqlistener and dials it.
func (f *fixture) dialListener(t *testing.T) (net.Conn, *kqlistener.Listener) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := kqlistener.New(raw)
	srv := &http.Server{Handler: l.Handler(f.engine), ConnContext: l.ConnContext, ConnState: l.ConnState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	conn, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() {
		conn.Close()
		srv.Close()
		<-done
		time.Sleep(300 * time.Millisecond) // connections that linger
	})
	return conn, l
}

// TestShutdownAnswersBehindLongResponse guards against requests that are dropped because they
// arrive while a long response is under way whose head has announced the close, also when the
// host ends its connections meanwhile.
func TestShutdownAnswersBehindLongResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			size := 8 << 20
			f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(c net.Conn, r *http.Request) bool {
				if r.Method == http.MethodPost {
					return replyOK(c, r)
				}
				io.WriteString(c, replyHead(r, "200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
				c.Write(make([]byte, size))
				return true
			})
			conn, l := f.dialListener(t)
			f.engine.Stop(time.Now().Add(20 * time.Second))
			fmt.Fprint(conn, getRequest("r0"))
			r := bufio.NewReader(conn)
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			drained := make(chan error, 1)
			go func() { drained <- l.Drain(t.Context()) }()
			if pause == 0 {
				fmt.Fprint(conn, chunkedRequest("r1"))
			}
			if n, err := io.Copy(io.Discard, res.Body); err != nil || n != int64(size) {
				t.Fatalf("%d bytes, %v", n, err)
			}
			if pause > 0 {
				time.Sleep(pause)
				fmt.Fprint(conn, chunkedRequest("r1"))
			}
			res, err = http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("the request behind a long response: %v", err)
			}
			if id := res.Header.Get(DefaultHeaderNames.RequestID); res.StatusCode != 200 || id != "r1" || !res.Close {
				t.Errorf("status %d to %s, closes: %t", res.StatusCode, id, res.Close)
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
		})
	}
}
