package kqsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqproxy"
)

const (
	maxStayPause  = 20 * time.Millisecond // between two requests, and between the parts of a body
	redialPause   = 20 * time.Millisecond // while nothing listens
	staySlack     = 2 * time.Second       // that a stayer waits beyond the time that it names
	stayBodyParts = 2
)

// stayDialer dials from an address of its own. The many short connections of stayers would
// otherwise take ports of 127.0.0.1 on which other processes are about to listen.
var stayDialer = net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 73, 1)}}

// Stayer is a caller that keeps using one address and its open connection, also while the
// host there shuts down.
type Stayer struct {
	Name   string // unique, part of the request IDs
	Addr   string
	Ledger *Ledger
	Leaves bool // ends when a connection is refused, instead of waiting for the next start

	conn net.Conn
	r    *bufio.Reader
}

// Run sends one request after another until ctx ends.
func (s *Stayer) Run(ctx context.Context) {
	defer s.hangUp()
	for i := 0; ctx.Err() == nil; i++ {
		if s.conn == nil && !s.dial() {
			if s.Leaves {
				return
			}
			time.Sleep(redialPause)
			continue
		}
		s.send(fmt.Sprintf("%s-%d", s.Name, i), rand.IntN(2) == 0)
		time.Sleep(rand.N(maxStayPause))
	}
}

func (s *Stayer) dial() bool {
	conn, err := stayDialer.Dial("tcp", s.Addr)
	if err != nil {
		return false
	}
	s.conn, s.r = conn, bufio.NewReader(conn)
	return true
}

func (s *Stayer) hangUp() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// send sends one request and records its end.
func (s *Stayer) send(id string, post bool) {
	s.Ledger.Sent(id, post)
	s.conn.SetDeadline(time.Now().Add(callTimeout + staySlack))
	err := s.write(id, post)
	sent := time.Now()
	var res *http.Response
	var p []byte
	if err == nil {
		res, err = http.ReadResponse(s.r, nil)
	}
	if err == nil {
		p, err = io.ReadAll(res.Body)
	}
	if err != nil {
		s.Ledger.Cut(id, time.Since(sent), err)
		s.hangUp()
		return
	}
	names := kqproxy.DefaultHeaderNames
	matches := res.Header.Get(names.RequestID) == id && res.Header.Get(names.Seal) != "" && string(p) == answerTo(id)
	s.Ledger.Answered(id, res.StatusCode, true, matches)
	if res.Close {
		s.hangUp()
	}
}

// write writes a GET with a query, or a POST whose body is sent in chunks and takes a while.
func (s *Stayer) write(id string, post bool) error {
	names := kqproxy.DefaultHeaderNames
	head := fmt.Sprintf("Host: %s\r\n%s: %s\r\n%s: %d\r\n", siteHost, names.RequestID, id, names.Deadline, callTimeout.Milliseconds())
	if !post {
		_, err := fmt.Fprintf(s.conn, "GET %s%s?p=/a/b&n=1 HTTP/1.1\r\n%s\r\n", safePrefix, id, head)
		return err
	}
	_, err := fmt.Fprintf(s.conn, "POST %s%s/?q=2 HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n", unsafePrefix, id, head)
	for range stayBodyParts {
		if err != nil {
			return err
		}
		time.Sleep(rand.N(maxStayPause))
		_, err = fmt.Fprint(s.conn, "7\r\nfiling \r\n")
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(s.conn, "0\r\n\r\n")
	return err
}
