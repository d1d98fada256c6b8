package kqclient

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/call/kqresponse"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// TestEndlessAnswer guards against a server whose answer never ends: the command must not keep
// more of it than the smallest host has, nor wait for good.
func TestEndlessAnswer(t *testing.T) {
	const bound = 32<<20 + 1<<20 // bytes that the command reads: a fifth of the smallest host's memory, and what frames them
	kilobyte := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ start, repeated string }{
		"no head":               {"", kilobyte},
		"head":                  {"HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"},
		"interim answers":       {"", "HTTP/1.1 103 Early\r\n\r\n"},
		"body without a length": {"HTTP/1.1 200 OK\r\n\r\n", kilobyte},
		"chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		"refusal":               {"HTTP/1.1 500 No\r\n\r\n", kilobyte},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveOnce(t, func(conn net.Conn, _ *http.Request) {
				_, err := io.WriteString(conn, c.start)
				for block := strings.Repeat(c.repeated, 64<<10/len(c.repeated)); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			})
			started := time.Now()
			var out json.RawMessage
			var read atomic.Int64
			client := New(Config{Servers: []string{addr}})
			client.http.Transport.(kqresponse.Transport).Base.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return countingConn{conn, &read}, err
			}
			err := client.Get(t.Context(), "/v1/routes", &out)
			if err == nil || time.Since(started) > requestTimeout/2 {
				t.Errorf("%v after %v, want an error", err, time.Since(started))
			}
			if took := read.Load(); took > bound {
				t.Errorf("read %d KB, want at most %d KB", took>>10, bound>>10)
			}
		})
	}
}
