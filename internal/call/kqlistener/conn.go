package kqlistener

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxAhead is how many bytes of further requests are read while one is in progress;
	// behind more of them a caller that leaves is noticed late.
	maxAhead   = 64 << 10
	aheadChunk = 2 << 10 // bytes read at once

	// lingerTime is how long a connection stays open for reading after the last response.
	// Closing it at once resets it if the caller has sent more, and a reset can overtake
	// the response.
	lingerTime = 250 * time.Millisecond

	// lingerAfter is how long ago a response may have been sent that can still be under way.
	lingerAfter = time.Second
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// conn is the connection of one caller.
type conn struct {
	net.Conn
	listener *Listener
	accepted time.Time
	cancel   context.CancelFunc // ends the context of its requests

	mu       sync.Mutex
	changed  *sync.Cond
	ahead    []byte    // bytes read behind the request in progress
	reading  bool      // readAhead is running
	ended    error     // why nothing more can be read, nil while the caller is there
	pending  bool      // bytes of a request were read that has no response yet
	served   bool      // a response was sent
	retiring bool      // to be closed once no request is pending
	deadline time.Time // read deadline that the server asked for
	wroteAt  time.Time // when the last bytes were written
	closed   bool
}

func newConn(raw net.Conn, l *Listener) *conn {
	c := &conn{Conn: raw, listener: l, accepted: time.Now(), cancel: func() {}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read reads from the caller. The server reads a single byte while a request is in
// progress, to notice that the caller leaves. If that byte belongs to a further request,
// it would notice nothing any more; so reading then goes on in the background.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.reading && len(c.ahead) == 0 {
		c.changed.Wait()
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.pending = true
		return n, nil
	}
	if c.ended != nil {
		return 0, c.ended
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 && err != nil {
		n, err = c.readFailed(p, err)
	}
	if n == 0 {
		return n, err
	}
	c.pending = true
	if c.retiring {
		_ = c.Conn.SetReadDeadline(c.deadline) // a failure shows at the next read
	}
	if len(p) == 1 && err == nil {
		c.reading = true
		go c.readAhead()
	}
	return n, err
}

// readFailed records that a read failed and returns what to tell the reader. Before a
// retiring connection ends, it takes what has arrived on it. The lock is held.
func (c *conn) readFailed(p []byte, err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
		return 0, err
	}
	if !c.retiring || c.pending {
		return 0, err
	}
	if n := c.readArrived(p); n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// readArrived reads without waiting. A read whose deadline has passed returns nothing, even
// if a request has arrived, whose caller would then get no response.
func (c *conn) readArrived(p []byte) (n int) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	err = rc.Read(func(fd uintptr) bool {
		n, err = unix.Read(int(fd), p)
		return true // whether or not something was there
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// readAhead reads further requests until the caller leaves or a deadline passes.
func (c *conn) readAhead() {
	buf := make([]byte, aheadChunk)
	for {
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		left := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if left {
			c.ended = err
		}
		c.reading = err == nil && len(c.ahead) < maxAhead
		goOn := c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if left {
			c.cancel()
		}
		if !goOn {
			return
		}
	}
}

// Write writes to the caller.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.wroteAt = time.Now()
	c.mu.Unlock()
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless the connection is about to close.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.retiring && !c.pending {
		return c.Conn.SetReadDeadline(past)
	}
	return c.Conn.SetReadDeadline(t)
}

// becameActive records that a request was read, which may have been received together
// with an earlier one.
func (c *conn) becameActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = true
	if c.retiring {
		_ = c.Conn.SetReadDeadline(c.deadline) // a failure shows at the next read
	}
}

// becameIdle records that the response was sent and a further request may come.
func (c *conn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.served = len(c.ahead) > 0, true
	if c.retiring && !c.pending {
		_ = c.Conn.SetReadDeadline(past) // a failure shows at the next read
	}
}

// retire makes the server close the connection as soon as no request is pending. A
// request that arrives first is served. Unless in a hurry, it leaves a connection alone
// that was just accepted.
func (c *conn) retire(hurry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiring || !hurry && !c.served && time.Since(c.accepted) < newConnGrace {
		return
	}
	c.retiring = true
	if !c.pending {
		_ = c.Conn.SetReadDeadline(past) // a failure shows at the next read
	}
}

// Close closes the connection, and only after a while for reading if a response may be
// under way.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	linger := c.ended == nil && !c.wroteAt.IsZero() && time.Since(c.wroteAt) < lingerAfter
	c.mu.Unlock()
	c.cancel()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && linger && half.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() {
			c.Conn.Close()
			c.listener.remove(c)
		})
		return nil
	}
	c.listener.remove(c)
	return c.Conn.Close()
}
