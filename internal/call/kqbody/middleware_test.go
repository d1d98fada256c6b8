package kqbody

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
)

// TestMiddleware guards against a document that a handler gets cut, one that never ends and is
// never above the limit, and one that is read beyond the limit.
func TestMiddleware(t *testing.T) {
	const allowed, timeout = 100_000, 300 * time.Millisecond
	m := NewMemory(Share(0))
	e := echo.New()
	e.PUT("/", func(c echo.Context) error {
		p, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		return c.String(http.StatusOK, strconv.Itoa(len(p)))
	}, m.Middleware(allowed, timeout))
	server := httptest.NewServer(e)
	defer server.Close()
	for name, c := range map[string]struct {
		head, body string
		drip       bool // bytes follow until the connection ends
		status     int
		answer     string
	}{
		"no body":           {"", "", false, 200, "0"},
		"small":             {"Content-Length: 5", "hello", false, 200, "5"},
		"at the limit":      {"Content-Length: 100000", strings.Repeat("x", allowed), false, 200, "100000"},
		"chunks":            {"Transfer-Encoding: chunked", "5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n", false, 200, "10"},
		"above the limit":   {"Content-Length: 200000", strings.Repeat("x", 2*allowed), false, 200, "100001"},
		"stops":             {"Content-Length: 100000", "x", false, 408, ""},
		"drips":             {"Content-Length: 100000", "x", true, 408, ""},
		"chunks, never end": {"Transfer-Encoding: chunked", "1\r\nx\r\n1", true, 408, ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if c.head != "" {
				c.head += "\r\n"
			}
			if _, err := io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+c.head+"\r\n"+c.body); err != nil {
				t.Fatal(err)
			}
			if c.drip {
				go func() {
					drop := "x"
					if strings.Contains(c.head, "chunked") {
						drop = "\r\nx\r\n1"
					}
					for _, err := io.WriteString(conn, drop); err == nil; _, err = io.WriteString(conn, drop) {
						time.Sleep(timeout / 10)
					}
				}()
			}
			_ = conn.SetReadDeadline(time.Now().Add(timeout + 5*time.Second))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			p, _ := io.ReadAll(res.Body) // a connection that ends here is reset at times
			if res.StatusCode != c.status || c.answer != "" && string(p) != c.answer {
				t.Errorf("%s %q, want %d %q", res.Status, p, c.status, c.answer)
			}
		})
	}
	if n := m.Held(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
}
