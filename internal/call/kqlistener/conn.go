package kqlistener

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxAhead is how many bytes of further requests are read while one is in progress;
	// behind more of them a caller that leaves is noticed late.
	maxAhead   = 64 << 10
	aheadChunk = 2 << 10 // bytes read at once
	maxSpare   = 4 << 10 // bytes kept for the next use: as many as the server reads at once

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
	cancel   context.CancelCauseFunc // ends the context of its requests

	mu        sync.Mutex
	changed   *sync.Cond
	ahead     []byte    // bytes read and not yet handed to the server
	spare     []byte    // memory for ahead
	framing   framing   // of the bytes handed to the server
	handling  bool      // a request was given to its handler, and the server has not gone on to the next
	finished  bool      // its handler has returned
	broken    bool      // its handler has panicked
	bodyDone  bool      // its body was read to the end
	reading   bool      // readAhead is running
	ended     error     // why nothing more can be read, nil while the caller is there
	timedOut  bool      // a further request did not arrive within the server's deadline
	malformed bool      // the server has refused a request by itself
	pending   bool      // bytes of a request were read that has no response yet
	served    bool      // a response was sent
	kept      bool      // to stay open for keepTime after the response
	keptUntil time.Time // when that is over
	retiring  bool      // to be closed once no request is pending
	hurried   bool      // to be closed soon, also if its caller never stops sending
	late      int       // bytes read since then
	deadline  time.Time // read deadline that the server asked for
	wroteAt   time.Time // when the last bytes were written
	abortive  bool      // to close it resets it
	closed    bool

	headCounted bool        // its head counts towards what the listener holds
	tooSlow     atomic.Bool // its head took too long while there were too many
}

func newConn(raw net.Conn, l *Listener) *conn {
	c := &conn{Conn: raw, listener: l, accepted: time.Now(), cancel: func(error) {}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read reads from the caller, and not beyond the end of a request: what the server held of
// a further one would be gone when it closes the connection. The server reads a single byte
// while a request is in progress, to notice that the caller leaves. If that byte belongs to
// a further request, it would notice nothing any more; so reading then goes on in the
// background.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	watches := len(p) == 1 // also if it is the last byte of a buffer, where reading on does no harm
	c.bodyDone = c.bodyDone || c.handling && watches
	for c.reading && len(c.ahead) == 0 {
		c.changed.Wait()
	}
	if c.tooSlow.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := 0, error(nil)
	if len(c.ahead) > 0 {
		n = c.framing.hand(c.ahead[:min(len(c.ahead), len(p))])
		copy(p, c.ahead[:n])
		c.ahead = c.ahead[n:]
	} else if n, err = c.readNow(p); n == 0 {
		return 0, err
	}
	c.pending = true
	c.countHead()
	if watches && err == nil && c.ended == nil && !c.reading && len(c.ahead) < maxAhead {
		c.reading = true
		go c.readAhead()
	}
	return n, err
}

// readNow reads from the connection, keeps what the server is not to get yet, and returns
// how much it gets. The lock is held, but not while it waits.
func (c *conn) readNow(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	p = c.framing.within(p)
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 && err != nil {
		n, err = c.readFailed(p, err)
	}
	if n == 0 {
		return n, err
	}
	if c.retiring {
		_ = c.Conn.SetReadDeadline(c.deadline) // a failure shows at the next read
	}
	c.countLate(n)
	handed := c.framing.hand(p[:n])
	c.keep(p[handed:n])
	return handed, err
}

// countLate counts bytes that were read, other than of the body that a handler reads. The lock is
// held.
func (c *conn) countLate(n int) {
	if c.hurried && (!c.handling || c.bodyDone) {
		c.late += n
	}
}

// keep appends to ahead. The lock is held.
func (c *conn) keep(p []byte) {
	if len(p) == 0 {
		return
	}
	if len(c.ahead) == 0 {
		c.ahead = c.spare[:0]
	}
	first := len(c.ahead) == 0
	c.ahead = append(c.ahead, p...)
	if first && cap(c.ahead) <= maxSpare {
		c.spare = c.ahead[:0]
	}
}

// readFailed records that a read failed and returns what to tell the reader. A read whose
// deadline has passed returns nothing even if a request has arrived, so before a wait for
// one ends, it takes what has arrived. The lock is held.
func (c *conn) readFailed(p []byte, err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
		if cause := resetCause(err); cause != nil {
			c.cancel(cause)
		}
		return 0, err
	}
	if c.handling {
		return 0, err
	}
	if n := c.readArrived(p); n > 0 {
		return n, nil
	}
	if c.retiring && !c.pending {
		return 0, io.EOF
	}
	c.timedOut = true
	return 0, err
}

// resetCause returns why the caller certainly left, nil after an end of file: it may have
// closed only its sending side.
func resetCause(err error) error {
	if err == io.EOF { //nolint:errorlint // connections return it unwrapped
		return nil
	}
	return err
}

// readArrived reads without waiting.
func (c *conn) readArrived(p []byte) (n int) {
	kqsocket.Control(c.Conn, func(fd int) { n, _ = unix.Read(fd, p) })
	return max(n, 0)
}

// readAhead reads further requests until the caller leaves or a deadline passes.
func (c *conn) readAhead() {
	buf := make([]byte, aheadChunk)
	for {
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		c.countLate(n)
		c.keep(buf[:n])
		left := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if left {
			c.ended = err
		}
		c.reading = err == nil && len(c.ahead) < maxAhead
		goOn := c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if left {
			c.cancel(resetCause(err))
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
	if !c.handling && !c.timedOut {
		c.malformed = true
		c.framing.handed, c.framing.whole = 0, 0 // the server has answered it by itself
	}
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
	if !c.handling {
		c.framing.handed = 0 // without Handler, all that was handed was the request
	}
	c.framing.whole = 0
	c.handling, c.served = false, true
	c.pending = c.framing.handed > 0 || len(c.ahead) > 0
	if c.kept && !c.hurried {
		c.retiring, c.keptUntil = false, time.Now().Add(keepTime)
	}
	c.kept = false
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
	c.hurried = c.hurried || hurry
	fresh := !c.served && time.Since(c.accepted) < newConnGrace
	if c.retiring || !hurry && (fresh || time.Now().Before(c.keptUntil)) {
		return
	}
	c.retiring = true
	if !c.pending {
		_ = c.Conn.SetReadDeadline(past) // a failure shows at the next read
	}
}

// keepOpen makes the connection stay open for a while after the response, unless it is to be
// closed soon.
func (c *conn) keepOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = !c.hurried
	return c.kept
}

// begin records that a handler runs, for a request with a body of so many bytes, -1 if it
// is sent in chunks. Of what follows the head the server has read nothing.
func (c *conn) begin(body int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.finished, c.broken, c.bodyDone = true, false, true, body == 0
	// The server may have read a byte of a further request already, so that one stays counted.
	c.framing.body, c.framing.whole = max(body, 0), 0
	c.countHead()
}

// resetUnlessComplete makes the end of the connection a reset, also at the end of the process,
// until the handler has returned normally. A response to HTTP/1.0 may have no length: its
// caller takes an orderly close for its end.
func (c *conn) resetUnlessComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setAbortive(true)
}

// setAbortive sets whether the end of the connection is a reset. The lock is held.
func (c *conn) setAbortive(on bool) {
	conn, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	sec := -1 // the default
	if on {
		sec = 0
	}
	c.abortive = conn.SetLinger(sec) == nil && on // without the option the connection ends in order
}

// finish records that the handler has returned, normally or by a panic.
func (c *conn) finish(broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished, c.broken = true, broken
	if c.abortive && !broken {
		c.setAbortive(false)
	}
}

// Close closes the connection, and only after a while for reading if a response may be
// under way that is not broken off.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	if c.headCounted {
		c.listener.heads.remove(c)
	}
	linger := c.ended == nil && !c.abortive && !c.wroteAt.IsZero() && time.Since(c.wroteAt) < lingerAfter
	behind, why := c.unanswered(), c.whyClosed()
	c.mu.Unlock()
	if behind > 0 {
		c.listener.recordUnanswered(c, behind, why)
	}
	c.cancel(nil)
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

// moreArrived reports whether anything has arrived behind the request in progress.
func (c *conn) moreArrived(bodyRead bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := c.framing.body
	switch {
	case !bodyRead && !c.bodyDone && body == 0:
		return false // of a body in chunks it cannot be told where it ends
	case c.late >= maxAhead:
		return false // the caller never stops sending
	case c.framing.handed > 0 || int64(len(c.ahead)) > body:
		return true
	case c.ended != nil:
		return false
	default:
		return int64(len(c.ahead)+c.unread()) > body
	}
}
