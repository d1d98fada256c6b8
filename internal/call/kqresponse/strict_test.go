package kqresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestTransport guards against clients that take a malformed or truncated response for one.
func TestTransport(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name, raw string
		want      error
	}{
		{"length", ok, nil},
		{"chunks and trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", nil},
		{"interim", "HTTP/1.1 103 Early\r\nX-Own: 1\r\n\r\n" + ok, nil},
		{"no body", "HTTP/1.1 204 None\r\n\r\n", nil},
		{"status 000", "HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\n" + ok, ErrMalformed},
		{"status 099", "HTTP/1.1 099 Broken\r\n\r\n" + ok, ErrMalformed},
		{"status 600", "HTTP/1.1 600 Broken\r\nContent-Length: 0\r\n\r\n", ErrMalformed},
		{"field name", "HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 2\r\n\r\nok", ErrMalformed},
		{"length in a malformed field", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", ErrMalformed},
		{"field name, interim", "HTTP/1.1 103 Early\r\nX Own: 1\r\n\r\n" + ok, ErrMalformed},
		{"field name, trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Own: 1\r\n\r\n", ErrMalformed},
		{"interim without end", strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", maxInterim+1) + ok, ErrMalformed},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", ErrCloseDelimited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
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
				http.ReadRequest(bufio.NewReader(conn))
				io.WriteString(conn, c.raw)
			}()
			client := http.Client{Transport: Transport{&http.Transport{DisableKeepAlives: true}}}
			res, err := client.Get("http://" + l.Addr().String())
			if err == nil {
				defer res.Body.Close()
				_, err = io.ReadAll(res.Body)
			}
			if !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}
