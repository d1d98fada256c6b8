package kqtransport

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bufferSize     = 4 << 10
	unackedTimeout = 3 * time.Second // unacknowledged data breaks a connection after this
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr         string
	r            *bufio.Reader
	w            *bufio.Writer
	idleSince    time.Time     // since when it waits in the pool
	idleLimit    time.Duration // that it may wait in the pool, as the target says; 0: it does not say
	bytesWritten int64         // bytes given to the kernel for the request under way
}

// Buffers belong to requests under way: a host keeps hundreds of idle connections.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// attach gives the connection its buffers.
func (c *conn) attachBuffers() {
	c.r = readers.Get().(*bufio.Reader)
	c.r.Reset(c.Conn)
	c.w = writers.Get().(*bufio.Writer)
	c.w.Reset(countingWriter{c})
}

// detach takes the buffers back; false says that bytes are left over in them.
func (c *conn) releaseBuffers() bool {
	whole := c.r.Buffered() == 0 && c.w.Buffered() == 0
	c.r.Reset(nil)
	c.w.Reset(nil)
	readers.Put(c.r)
	writers.Put(c.w)
	c.r, c.w = nil, nil
	return whole
}

// keepMargin is how much sooner than the target an idle connection is closed
// here, so that no request crosses the target's close.
const keepAliveMargin = time.Second

// keepIdle takes the Keep-Alive field of an answer, in whole seconds.
func (c *conn) parseKeepAlive(field string) {
	for part := range strings.SplitSeq(field, ",") {
		word, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(word); err == nil && n >= 0 {
			told := time.Duration(n) * time.Second
			c.idleLimit = max(told-keepAliveMargin, told/2, time.Millisecond)
		}
	}
}

// counting notes how many bytes may have reached the target.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.bytesWritten += int64(n)
	return n, err
}

// quiet reports whether the other end has neither closed the connection nor
// sent anything that belongs to no request.
func (c *conn) usable() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
