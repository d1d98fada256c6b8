package kqlink

import (
	"bufio"
	"net"
	"sync"
)

// stream reads and writes the objects of one connection for jsonrpc2, and writes
// frames that are already encoded.
type stream struct {
	raw   net.Conn
	r     *bufio.Reader // shared with the handshake, may hold buffered bytes
	codec codec
	mu    sync.Mutex // held while writing
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
func (s *stream) ReadObject(v any) error { return s.codec.ReadObject(s.r, v) }

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.raw.Close() }
