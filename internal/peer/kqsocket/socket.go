package kqsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// BoundUnacked makes the kernel close the connection when sent data stays
// unacknowledged for longer than d. Errors are ignored, because the callers'
// heartbeats and deadlines also detect a dead connection.
func BoundUnacked(c net.Conn, d time.Duration) {
	Control(c, func(fd int) {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds())) // best effort
	})
}

// IsClosed reports whether the socket is closed in both directions, and not only by the other
// end's close of its own.
func IsClosed(c net.Conn) bool {
	closed := false
	Control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd)}} // POLLHUP is always reported
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&unix.POLLHUP != 0 // an interrupted call found nothing
	})
	return closed
}

// Control calls f with the file descriptor, if there is one. Unlike a read or a write, it does
// not wait for one that is under way, or fail after a deadline.
func Control(c net.Conn, f func(fd int)) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // a closed connection has nothing
}

// FreeAddrs returns n different loopback addresses with ports that were free a
// moment ago.
func FreeAddrs(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}
