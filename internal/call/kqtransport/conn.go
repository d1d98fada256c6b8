package kqtransport

import (
	"bufio"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	bufferSize     = 4 << 10
	maxHead        = 64 << 10        // bytes of a response before its body, interim responses included
	unackedTimeout = 3 * time.Second // a connection with data unacknowledged for this long is closed
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	target       target
	carried      Exchanges // before the current request
	r            *bufio.Reader
	w            *bufio.Writer
	idleSince    time.Time     // when it was put into the pool
	idleLimit    time.Duration // longest time in the pool by the target's Keep-Alive field; 0 if the target named none
	bytesWritten int64         // bytes written to the socket for the current request
	readLimit    int64         // bytes that may still be read from the socket

	writing  sync.Mutex // held during each write to the socket
	writeErr error      // of the first write that failed
}

// Only connections in use have buffers, since a host keeps hundreds of idle
// connections.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// attachBuffers takes buffers for the connection from the shared pools.
func (c *conn) attachBuffers() {
	c.r = readers.Get().(*bufio.Reader)
	c.r.Reset(limitedReader{c})
	c.w = writers.Get().(*bufio.Writer)
	c.w.Reset(countingWriter{c})
}

// releaseBuffers returns the buffers to the shared pools. It reports whether they
// were empty.
func (c *conn) releaseBuffers() bool {
	empty := c.r.Buffered() == 0 && c.w.Buffered() == 0
	c.r.Reset(nil)
	c.w.Reset(nil)
	readers.Put(c.r)
	writers.Put(c.w)
	c.r, c.w = nil, nil
	return empty
}

// keepAliveMargin is how much earlier than the target this host closes an idle
// connection, so that no request is sent while the target closes it.
const keepAliveMargin = time.Second

// parseKeepAlive sets idleLimit from the timeout in a Keep-Alive header field,
// which is in whole seconds.
func (c *conn) parseKeepAlive(value string) {
	for part := range strings.SplitSeq(value, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			announced := time.Duration(n) * time.Second
			c.idleLimit = max(announced-keepAliveMargin, announced/2, time.Millisecond)
		}
	}
}

// errHeadTooLong means that the target sent maxHead bytes without the end of a head, or too
// many fields in one.
var errHeadTooLong = errors.New("head of the response is too long")

// limitHead limits the bytes that are read from now on to those of one head; the
// returned function ends the limit.
func (c *conn) limitHead() (end func()) {
	c.readLimit = maxHead
	return func() { c.readLimit = math.MaxInt64 }
}

// limitedReader reads from the connection up to its readLimit.
type limitedReader struct{ c *conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.c.readLimit <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.c.Conn.Read(p[:min(int64(len(p)), r.c.readLimit)])
	r.c.readLimit -= int64(n)
	return n, err
}

// countingWriter writes to the connection and counts the bytes that may have
// reached the target.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	w.c.writing.Lock()
	defer w.c.writing.Unlock()
	n, err := w.c.Conn.Write(p)
	w.c.bytesWritten += int64(n)
	if w.c.writeErr == nil {
		w.c.writeErr = err
	}
	return n, err
}

// endedByReset reports, after a read has returned io.EOF, whether the connection failed and
// was not closed by the target. A socket reports a failure once. If a write takes the error,
// reads end as they do after an orderly close.
func (c *conn) endedByReset() bool {
	if !kqsocket.IsClosed(c.Conn) {
		return false
	}
	c.writing.Lock() // a write to a closed socket does not block
	defer c.writing.Unlock()
	// A reset that follows an orderly close fails writes with EPIPE.
	return c.writeErr != nil && !errors.Is(c.writeErr, unix.EPIPE)
}

// usable reports whether an idle connection can carry another request: the target
// has neither closed it nor sent bytes that belong to no request.
func (c *conn) usable() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return err == nil && usable
}
