package kqcall

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/call/kqheader"
)

// TestBrokenResponseIsVisible breaks off responses behind their head, in each framing and
// version of HTTP. It guards against callers that take the end for the response's own, as that
// of one without a length.
func TestBrokenResponseIsVisible(t *testing.T) {
	for _, size := range []int{1 << 10, 256 << 10} {
		part := strings.Repeat("x", size/2)
		for name, response := range map[string]string{
			"length":      fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, part),
			"chunks":      fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
			"until close": "\r\n" + part,
		} {
			f := newFixture(t, raw("HTTP/1.1 200 OK\r\n"+response), nil)
			addr := f.listen(t)
			for _, version := range []string{"1.0", "1.0\r\nConnection: keep-alive", "1.1", "1.1\r\nConnection: close"} {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(time.Now().Add(10 * time.Second))
				fmt.Fprintf(c, "POST /filings HTTP/%s\r\nHost: x\r\n%s: o\r\n%s: kekhai\r\nContent-Length: 1\r\n\r\nx", version, kqheader.Owner, kqheader.Service)
				if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					if p, err := io.ReadAll(res.Body); err == nil && res.StatusCode == http.StatusOK {
						t.Errorf("%s, %d bytes, HTTP/%q: %d bytes look complete", name, size, version, len(p))
					}
				}
				c.Close()
			}
		}
	}
}
