package kqlistener

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

var dateField = regexp.MustCompile(`Date: [^\r]*\r\n`)

// serveBodies serves, on a listener that splits requests or on a plain one, a handler that reads
// as much of a body as its request's path says.
func serveBodies(t *testing.T, split bool) (addr string) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := int64(1 << 30)
		if strings.HasPrefix(r.URL.Path, "/none") {
			limit = 0
		}
		if strings.HasPrefix(r.URL.Path, "/part") {
			limit = 1
		}
		p, err := io.ReadAll(io.LimitReader(r.Body, limit))
		fmt.Fprintf(w, "%s %s %q %v %v", r.Method, r.URL.Path, p, err, r.Trailer)
	})
	srv := &http.Server{Handler: h}
	l := raw
	if split {
		mine := New(raw)
		srv.Handler, srv.ConnContext, srv.ConnState = mine.Handler(h), mine.ConnContext, mine.ConnState
		l = mine
	}
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
	return raw.Addr().String()
}

// randomStream returns requests behind each other as callers of all kinds send them, also
// faulty ones.
func randomStream(rnd *rand.Rand) string {
	var all strings.Builder
	for i := range 1 + rnd.IntN(5) {
		eol := []string{"\r\n", "\r\n", "\r\n", "\n"}[rnd.IntN(4)]
		path := fmt.Sprintf("/%s%d", []string{"all", "none", "part"}[rnd.IntN(3)], i)
		text := strings.Repeat([]string{"a", "\n", "\r\n", "0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"}[rnd.IntN(5)], 2+rnd.IntN(4))
		version := []string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0"}[rnd.IntN(5)]
		more := []string{"", "", "", "X: y" + eol + " folded" + eol, "Connection: keep-alive" + eol, "Expect: 100-continue" + eol, "Connection: close" + eol}[rnd.IntN(7)]
		post := "POST " + path + " " + version + eol + "Host: x" + eol + more
		switch rnd.IntN(9) {
		case 0, 1:
			all.WriteString("GET " + path + " " + version + eol + "Host: x" + eol + more + eol)
		case 2, 3:
			fmt.Fprintf(&all, "%sContent-Length: %d%s%s%s", post, len(text), eol, eol, text)
		case 4:
			all.WriteString(post + "Content-Length: 0" + eol + eol)
		case 5, 6:
			fmt.Fprintf(&all, "%sTransfer-Encoding: chunked%s%s%x;ext=1%s%s%s0%s%s", post, eol, eol, len(text), eol, text, eol, eol, eol)
		case 7:
			fmt.Fprintf(&all, "%sTransfer-Encoding: chunked%sTrailer: X-Sum%s%s%x%s%s%s0%sX-Sum: 7%s%s", post, eol, eol, eol, len(text), eol, text, eol, eol, eol, eol)
		case 8:
			fmt.Fprintf(&all, "%sContent-Length: 2%s%sab\r\n", post, eol, eol) // an old caller's line end behind the body
		}
	}
	if rnd.IntN(6) == 0 {
		all.WriteString("nonsense\r\n\r\n")
	}
	return all.String()
}

// responses sends the pieces and returns all that comes back.
func responses(t *testing.T, addr string, pieces []string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		for _, p := range pieces {
			io.WriteString(c, p) // it may be closed by then
			time.Sleep(time.Millisecond)
		}
		time.Sleep(60 * time.Millisecond)
		io.WriteString(c, "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	}()
	got, err := io.ReadAll(c)
	return dateField.ReplaceAllString(string(got), "")
}

// TestResponsesAsWithoutListener guards against requests that are split, dropped or answered in
// another way than by the server alone.
func TestResponsesAsWithoutListener(t *testing.T) {
	plain, split := serveBodies(t, false), serveBodies(t, true)
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 9))
			all := randomStream(rnd)
			var pieces []string
			for rest := all; len(rest) > 0; {
				n := min(len(rest), 1+rnd.IntN(1+rnd.IntN(200)))
				pieces, rest = append(pieces, rest[:n]), rest[n:]
			}
			want, got := responses(t, plain, []string{all}), responses(t, split, pieces)
			if got != want {
				t.Errorf("sent %q\n got %q\nwant %q", all, got, want)
			}
		})
	}
}
