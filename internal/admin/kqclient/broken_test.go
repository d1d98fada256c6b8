package kqclient

import (
	"bufio"
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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.Copy(io.Discard, req.Body)
				}
				io.WriteString(conn, raw)
			}()
			var out json.RawMessage
			err = New(Config{Servers: []string{l.Addr().String()}}).Put(t.Context(), "/v1/routes", []byte("{}"), &out)
			if !errors.Is(err, ErrUnknown) {
				t.Errorf("%v with %q, want %v", err, out, ErrUnknown)
			}
		})
	}
}
