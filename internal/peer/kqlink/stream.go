package kqlink

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stream reads and writes the objects of one connection for jsonrpc2, and writes
// frames that are already encoded.
type stream struct {
	raw   net.Conn
	r     *bufio.Reader // shared with the handshake, may hold buffered bytes
	codec codec
	mu    sync.Mutex // held while writing

	inFrame atomic.Bool // a frame has begun to arrive and is not complete
}

// watchedConn records when bytes were last read from the connection.
type watchedConn struct {
	net.Conn
	lastRead atomic.Int64 // Unix time in nanoseconds, 0: never
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	p, err := encode(obj)
	if err != nil {
		return err
	}
	return s.write(p)
}

func (s *stream) write(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.codec.writeFrame(s.raw, frame)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if _, err := s.r.Peek(1); err != nil {
		return err
	}
	s.inFrame.Store(true)
	defer s.inFrame.Store(false)
	return s.codec.ReadObject(s.r, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.raw.Close() }
