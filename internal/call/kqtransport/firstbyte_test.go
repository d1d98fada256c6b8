package kqtransport

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestBeforeFirstByte checks that nothing reaches the target after an error of
// BeforeFirstByte, on a new and on a reused connection.
func TestBeforeFirstByte(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := NewPool(Config{})
	defer p.Close()
	refused, refuse := errors.New("refused"), true
	req := newRequest(s, http.MethodPost)
	req.BeforeFirstByte = func() error {
		if refuse {
			return refused
		}
		return nil
	}
	for n := range int64(2) {
		refuse = true
		var e *Error
		if _, err := send(t, p, req); !errors.As(err, &e) || !e.Unsent || !errors.Is(err, refused) || s.requests.Load() != n {
			t.Errorf("%v after %d requests, want an unsent one", err, s.requests.Load())
		}
		refuse = false
		if _, err := send(t, p, req); err != nil {
			t.Error(err)
		}
	}
}
