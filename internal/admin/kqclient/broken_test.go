package kqclient

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestBrokenAnswerIsNoRefusal guards against a change that may have been accepted and is
// reported as refused, or as accepted, because the answer of the server is malformed or
// truncated.
func TestBrokenAnswerIsNoRefusal(t *testing.T) {
	for name, raw := range map[string]string{
		"status 000":                     "HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\n",
		"status 600":                     "HTTP/1.1 600 Broken\r\nContent-Length: 0\r\n\r\n",
		"field name, refused":            "HTTP/1.1 409 No\r\nX Own: 1\r\nContent-Length: 0\r\n\r\n",
		"field name, accepted":           "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"field name of interim":          "HTTP/1.1 103 Early\r\nX Own: 1\r\n\r\nHTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n",
		"no length, refused, truncated":  "HTTP/1.1 409 No\r\n\r\n{\"error\":\"unk",
		"no length, accepted, truncated": "HTTP/1.1 200 OK\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveOnce(t, func(conn net.Conn, req *http.Request) {
				io.Copy(io.Discard, req.Body)
				io.WriteString(conn, raw)
			})
			var out json.RawMessage
			err := New(Config{Servers: []string{addr}}).Put(t.Context(), "/v1/routes", []byte("{}"), &out)
			if !errors.Is(err, ErrUnknown) {
				t.Errorf("%v with %q, want %v", err, out, ErrUnknown)
			}
		})
	}
}

// TestResetDuringLongDocument guards against a refusal that is taken for certain though its
// connection was reset while the document was still being sent.
func TestResetDuringLongDocument(t *testing.T) {
	document := make([]byte, 8<<20) // more than the buffers of both sockets hold
	certain := 0
	for range 20 {
		addr := serveOnce(t, func(conn net.Conn, req *http.Request) {
			io.CopyN(io.Discard, req.Body, 1<<10)
			io.WriteString(conn, "HTTP/1.1 409 No\r\n\r\n{\"error\":\"version\"}")
			conn.(*net.TCPConn).SetLinger(0)
		})
		var out json.RawMessage
		if err := New(Config{Servers: []string{addr}}).Put(t.Context(), "/v1/routes", document, &out); !errors.Is(err, ErrUnknown) {
			certain++
			t.Log(err)
		}
	}
	if certain > 0 {
		t.Errorf("%d of 20 changes have a certain outcome", certain)
	}
}
