package kqsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/call/kqresponse"
)

const (
	maxStayPause = 20 * time.Millisecond // between two exchanges, and between the parts of a body
	redialPause  = 20 * time.Millisecond // while nothing listens
	staySlack    = 2 * time.Second       // that a stayer waits beyond the time that it names
	continueWait = 300 * time.Millisecond
	readerBlock  = 32 << 10              // bytes that a slow reader takes at once
	maxReadPause = 50 * time.Millisecond // of a slow reader between two blocks
	maxReadTime  = 500 * time.Millisecond
	stayStream   = 2 // of random numbers
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
	Ways   []Way // in which it sends, drawn at random; GET and POST in chunks if empty
	Seed   uint64
	Leaves bool // ends when a connection is refused, instead of waiting for the next start

	rng  *rand.Rand
	conn net.Conn
	r    *bufio.Reader
}

// Run sends one request after another until ctx ends.
func (s *Stayer) Run(ctx context.Context) {
	defer s.hangUp()
	s.rng = rand.New(rand.NewPCG(s.Seed, stayStream))
	if len(s.Ways) == 0 {
		s.Ways = []Way{WayGet, WayChunked}
	}
	for i := 0; ctx.Err() == nil; i++ {
		if s.conn == nil && !s.dial() {
			if s.Leaves {
				return
			}
			time.Sleep(redialPause)
			continue
		}
		s.exchange(s.Ways[s.rng.IntN(len(s.Ways))], fmt.Sprintf("%s-%d", s.Name, i))
		time.Sleep(draw(s.rng, maxStayPause))
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

// exchange is one round of requests on a connection, which one goroutine writes while
// another reads the responses.
type exchange struct {
	*Stayer
	way   Way
	list  []message
	begun int         // requests of which something was written
	sent  []time.Time // when the requests were whole

	over atomic.Bool   // nothing further is to be written
	goOn chan struct{} // the host asked for the body, or the reader has ended

	answered int
	closes   bool // a response said that it is the last one
	ended    time.Time
	err      error // why the reader ended before the last response
}

// exchange sends requests in one way and records how each of them ended.
func (s *Stayer) exchange(way Way, name string) {
	e := &exchange{Stayer: s, way: way, list: way.messages(s.rng, name), goOn: make(chan struct{}, 1)}
	s.conn.SetDeadline(time.Now().Add(callTimeout + staySlack))
	pieces := way.pieces(s.rng, e.list)
	pause := draw(s.rng, maxReadPause)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.read(pause)
	}()
	e.write(pieces)
	<-done
	for i := e.answered; i < e.begun; i++ {
		c := Cut{Addr: s.Addr, At: e.ended, Err: e.err}
		if i < len(e.sent) {
			c.Sent = e.sent[i]
		}
		s.Ledger.Cut(e.list[i].id, c)
	}
	if e.err != nil || e.closes || len(e.sent) < len(e.list) || way == WayHalfClose {
		s.hangUp()
	}
}

// write writes the pieces. A caller that has got its last response, or sees the connection
// end, begins no further request and stops to write the one in progress.
func (e *exchange) write(pieces []piece) {
	for _, p := range pieces {
		time.Sleep(p.pause)
		if p.awaits {
			select {
			case <-e.goOn:
			case <-time.After(continueWait):
			}
		}
		if e.over.Load() {
			return
		}
		for range p.starts {
			m := e.list[e.begun]
			e.Ledger.SentIn(e.way, m.id, m.post)
			e.begun++
		}
		if _, err := io.WriteString(e.conn, p.data); err != nil {
			return // the reader meets the end of the connection, behind what has arrived
		}
		for range p.ends {
			e.sent = append(e.sent, time.Now())
		}
	}
	if half, ok := e.conn.(*net.TCPConn); ok && e.way == WayHalfClose {
		_ = half.CloseWrite() // the reader meets the end of the connection
	}
}

// read reads the responses until the last one or the end of the connection.
func (e *exchange) read(pause time.Duration) {
	defer close(e.goOn)
	defer e.over.Store(true)
	for e.answered < len(e.list) {
		res, err := http.ReadResponse(e.r, nil)
		if err == nil && res.StatusCode == http.StatusContinue {
			select {
			case e.goOn <- struct{}{}:
			default: // it was told before
			}
			continue
		}
		if err == nil {
			err = kqresponse.Strict(res)
		}
		var p []byte
		if err == nil {
			p, err = e.readBody(res, pause)
		}
		if err != nil {
			e.err, e.ended = err, time.Now()
			return
		}
		id := e.list[e.answered].id
		names := kqproxy.DefaultHeaderNames
		matches := res.Header.Get(names.RequestID) == id && res.Header.Get(names.Seal) != "" && string(p) == answerTo(id)
		e.Ledger.Answered(id, res.StatusCode, true, matches)
		e.answered++
		if res.Close {
			e.closes = true
			e.over.Store(true)
		}
	}
}

func (e *exchange) readBody(res *http.Response, pause time.Duration) ([]byte, error) {
	if e.way != WayReader {
		return io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	}
	var all []byte
	block := make([]byte, readerBlock)
	for began := time.Now(); ; {
		n, err := res.Body.Read(block)
		all = append(all, block[:n]...)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		if time.Since(began) < maxReadTime {
			time.Sleep(pause)
		}
	}
}
