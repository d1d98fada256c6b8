package kqcall

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqlistener"
)

// listen serves the engine by a kqlistener and returns its address.
func (f *fixture) listen(t *testing.T) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := kqlistener.New(raw)
	srv := &http.Server{Handler: l.Handler(f.engine), ConnContext: l.ConnContext, ConnState: l.ConnState}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return raw.Addr().String()
}

// TestShutdownAnswersCallsBehindEachOther guards against calls that were read behind another one
// and are dropped with their connection, because a response of the shutdown closed it.
func TestShutdownAnswersCallsBehindEachOther(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(250 * time.Millisecond)
		echoRequestBody(w, r)
	}, nil)
	addr := f.listen(t)
	f.engine.Stop(time.Now().Add(30 * time.Second))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	const head = "%s /filings HTTP/1.1\r\nHost: x\r\n" + kqheader.Owner + ": o\r\n" + kqheader.Service + ": kekhai\r\n"
	fmt.Fprintf(c, head+"\r\n", "GET")
	fmt.Fprintf(c, head+"Content-Length: 6\r\n\r\nfiling", "POST")
	r := bufio.NewReader(c)
	for _, want := range []string{"", "filing"} {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response to the call with the body %q: %v", want, err)
		}
		if p, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK || string(p) != want {
			t.Errorf("%d %q %v, want %q", res.StatusCode, p, err, want)
		}
	}
}
