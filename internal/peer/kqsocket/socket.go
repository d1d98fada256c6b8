package kqsocket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// BoundUnacked makes the kernel close the connection when sent data stays
// unacknowledged for longer than d. Errors are ignored, because the callers'
// heartbeats and deadlines also detect a dead connection.
func BoundUnacked(c net.Conn, d time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	sys, err := t.SyscallConn()
	if err != nil {
		return
	}
	sys.Control(func(fd uintptr) { // best effort
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds())) // best effort
	})
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
