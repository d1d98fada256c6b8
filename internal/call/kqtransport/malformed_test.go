package kqtransport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// expectMalformed sends a request to a target that answers with the raw response, and checks
// that it gets none and may have been executed.
func expectMalformed(t *testing.T, raw string) {
	t.Helper()
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, raw)
		return false
	})
	p := NewPool(Config{})
	defer p.Close()
	req := newRequest(s, http.MethodPost)
	req.AcceptCloseDelimited = true
	req.IsForeign = func(_ Exchanges, _ int, h http.Header) bool { return h.Get("X-Foreign") != "" }
	got, err := send(t, p, req)
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
			"no length":                   "\r\n" + okResponse,
			"another request's":           "X-Foreign: 1\r\nContent-Length: 0\r\n\r\n" + okResponse,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				expectMalformed(t, "HTTP/1.1 "+status+" Broken\r\n"+rest)
			})
		}
	}
}

// TestMalformedFieldName guards against a field whose name is no token: what it says, a length
// for instance, is overlooked here, and a caller reads it as another field.
func TestMalformedFieldName(t *testing.T) {
	for _, field := range []string{"X Own: 1", "X-Own : 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X-\x01: 1", "X(: 1", "X\t: 1", "\xc3\xa9: 1", ": 1"} {
		for name, raw := range map[string]string{
			"head":              "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok",
			"head, no length":   "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nok",
			"interim head":      "HTTP/1.1 103 Early\r\n" + field + "\r\n\r\n" + okResponse,
			"trailer":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n\r\n",
			"another request's": "HTTP/1.1 200 OK\r\nX-Foreign: 1\r\n" + field + "\r\nContent-Length: 0\r\n\r\n" + okResponse,
		} {
			t.Run(fmt.Sprintf("%q, %s", field, name), func(t *testing.T) { expectMalformed(t, raw) })
		}
	}
}
