package kqtransport

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// answersWith returns a target that answers its first request with the raw response and all
// others with success.
func answersWith(t *testing.T, raw string) *scriptedTarget {
	t.Helper()
	return serve(t, func(n int64, c net.Conn, _ *http.Request) bool {
		if n > 1 {
			writeOK(c)
			return true
		}
		io.WriteString(c, raw)
		return true
	})
}

// expectMalformed sends a request that must get no response, and may have been executed.
func expectMalformed(t *testing.T, raw string) {
	t.Helper()
	s := answersWith(t, raw)
	p := NewPool(Config{})
	defer p.Close()
	got, err := send(t, p, newRequest(s, http.MethodPost))
	var e *Error
	if err == nil || errors.As(err, &e) && e.Unsent {
		t.Errorf("got %q, %v", got, err)
	}
	if open := p.OpenConns(s.listener.Addr().String()); open != 0 {
		t.Errorf("%d connections are open after the exchange", open)
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestMalformedStatus guards against a response with a status below 100 that is skipped as an
// interim one, so that its body is taken as the response, and against statuses that no caller
// understands.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+99", "600", "999"} {
		for name, rest := range map[string]string{
			"no body, response behind it": "Content-Length: 0\r\n\r\n" + okResponse,
			"body that reads as response": "Content-Length: 40\r\n\r\n" + okResponse,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				expectMalformed(t, "HTTP/1.1 "+status+" Broken\r\n"+rest)
			})
		}
	}
}
