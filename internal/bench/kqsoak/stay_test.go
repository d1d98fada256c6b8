package kqsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/call/kqproxy"
)

var allWays = Ways(true, true)

// TestPieces checks that the pieces of each way make up the requests that it announces, so
// that none is taken for whole too early or never.
func TestPieces(t *testing.T) {
	for _, way := range allWays {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 1))
			list := way.messages(rng, "x")
			var all strings.Builder
			starts, ends := 0, 0
			for _, p := range way.pieces(rng, list) {
				if starts += p.starts; starts == 0 || ends > starts {
					t.Fatalf("%s: %d begun, %d whole", way, starts, ends)
				}
				all.WriteString(p.data)
				ends += p.ends
			}
			if starts != len(list) || ends != len(list) {
				t.Fatalf("%s: %d begun, %d whole, want %d", way, starts, ends, len(list))
			}
			r := bufio.NewReader(strings.NewReader(all.String()))
			for _, m := range list {
				req, err := http.ReadRequest(r)
				if err != nil {
					t.Fatalf("%s: %v", way, err)
				}
				n, err := io.Copy(io.Discard, req.Body)
				if id := req.Header.Get(kqproxy.DefaultHeaderNames.RequestID); err != nil || id != m.id || (req.Method == http.MethodPost) != m.post || m.post != (n > 0) {
					t.Errorf("%s: %s %s with %d bytes, %v", way, req.Method, id, n, err)
				}
			}
			if r.Buffered() > 0 {
				t.Errorf("%s: %d bytes behind the last request", way, r.Buffered())
			}
		}
	}
}

func countsOf(l *Ledger, w Way) WayCounts {
	counts, _ := l.ByWay()
	return counts[w]
}

// stay runs a stayer that uses only one way against the handler for a while.
func stay(t *testing.T, way Way, l *Ledger, h http.Handler) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	s := &Stayer{Name: "s", Addr: strings.TrimPrefix(server.URL, "http://"), Ledger: l, Ways: []Way{way}}
	s.Run(ctx)
}

// TestStayerIsAnswered checks that requests of each way are answered by a host that loses none.
func TestStayerIsAnswered(t *testing.T) {
	for _, way := range allWays {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			l := NewLedger()
			l.SetPlanned(true)
			stay(t, way, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				names := kqproxy.DefaultHeaderNames
				id := r.Header.Get(names.RequestID)
				l.Ran(id, "t", time.Now())
				w.Header().Set(names.RequestID, id)
				w.Header().Set(names.Seal, "sealed")
				io.WriteString(w, answerTo(id))
			}))
			counts, violations := l.Result()
			if got := countsOf(l, way); got.Sent == 0 || got.Answered != got.Sent || counts.Broken > 0 || len(violations) > 0 {
				t.Errorf("%+v %v", got, violations)
			}
		})
	}
}

// TestStayerNoticesLoss guards against a soak that cannot fail: a host that ends the connection
// of a request that ran loses it, in each way.
func TestStayerNoticesLoss(t *testing.T) {
	for _, way := range allWays {
		t.Run(string(way), func(t *testing.T) {
			t.Parallel()
			l := NewLedger()
			l.SetPlanned(true)
			stay(t, way, l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				l.Ran(r.Header.Get(kqproxy.DefaultHeaderNames.RequestID), "t", time.Now())
				panic(http.ErrAbortHandler)
			}))
			if got := countsOf(l, way); got.Lost == 0 || got.Answered > 0 {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestStayerNoticesDroppedRequest guards against a soak that misses requests which were sent
// behind a closing response and never answered.
func TestStayerNoticesDroppedRequest(t *testing.T) {
	l := NewLedger()
	l.SetPlanned(true)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	go func() {
		c, err := raw.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		raw.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(2 * lossSlack)
	}()
	s := &Stayer{Name: "s", Addr: raw.Addr().String(), Ledger: l, Ways: []Way{WayAtOnce}, Leaves: true}
	s.Run(t.Context())
	if got := countsOf(l, WayAtOnce); got.Sent != 2 || got.Refused != 1 || got.Lost != 1 {
		t.Errorf("%+v, want the second request lost", got)
	}
}
