package kqtransport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"
)

const (
	uploadSize = 8 << 20 // more than the buffers of both sockets hold
	resetRuns  = 20
)

// TestEndDuringUpload guards against a response without a length that is taken as complete
// though its target reset the connection: the write of the request takes the only error of
// the socket, and the read meets the end of an orderly close. It also guards against
// complete responses that are given up because the upload then fails.
func TestEndDuringUpload(t *testing.T) {
	uploads := map[string]func(*Request){
		"in memory": func(r *Request) { r.Body = make([]byte, uploadSize) },
		"streamed":  func(r *Request) { r.BodyRest, r.BodyLength = bytes.NewReader(make([]byte, uploadSize)), uploadSize },
		"in chunks": func(r *Request) { r.BodyRest, r.BodyLength = bytes.NewReader(make([]byte, uploadSize)), -1 },
	}
	untilClose, length, chunks := "\r\nwhole", "Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	cases := []struct {
		name, framing string
		end           func(*net.TCPConn)
		breaksWrite   bool
		isWhole       bool
	}{
		{"until close, reset", untilClose, reset, true, false},
		{"until close, closed in order", untilClose, readOn, false, true},
		{"until close, closed in order, then reset", untilClose, closeThenReset, true, true},
		{"length, reset", length, reset, true, true},
		{"chunks, reset", chunks, reset, true, true},
	}
	for _, c := range cases {
		for kind, upload := range uploads {
			for _, writeFirst := range []bool{true, false} { // the write meets the end before the read does, or either
				if writeFirst && !c.breaksWrite {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, write first %t", c.name, kind, writeFirst), func(t *testing.T) {
					wrong := 0
					for range resetRuns {
						if got, err := uploadUntilEnd(t, upload, c.framing, c.end, writeFirst); got != "whole" || (err == nil) != c.isWhole {
							wrong++
							t.Logf("got %q, %v", got, err)
						}
					}
					if wrong > 0 {
						t.Errorf("%d of %d responses were judged wrong", wrong, resetRuns)
					}
				})
			}
		}
	}
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func readOn(c *net.TCPConn) {
	c.CloseWrite()
	io.Copy(io.Discard, c)
	c.Close()
}

func closeThenReset(c *net.TCPConn) {
	c.CloseWrite()
	reset(c)
}

// uploadUntilEnd sends an upload to a target that reads 1 KB of it, responds, and ends the
// connection once the head of the response has been read. It returns the response.
func uploadUntilEnd(t *testing.T, upload func(*Request), framing string, end func(*net.TCPConn), writeFirst bool) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	headRead := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.CopyN(io.Discard, req.Body, 1<<10)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing)
		<-headRead
		end(c.(*net.TCPConn))
	}()
	p := NewPool(Config{})
	defer p.Close()
	req := Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/ledgers/1"}, Host: "x", Header: http.Header{},
		Addr: l.Addr().String(), MaxConns: 1, AtMostOnce: true, AcceptCloseDelimited: true,
	}
	upload(&req)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	reply, err := p.Send(ctx, req)
	close(headRead)
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Close()
	for writeFirst && len(reply.Body.(*responseBody).writeDone) == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}
