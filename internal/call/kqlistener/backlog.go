package kqlistener

import (
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// acceptWaiting accepts the connections that the kernel has accepted on the listening
// socket, and waits for none. Closing the socket would reset them.
func acceptWaiting(l net.Listener) ([]net.Conn, error) {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "listening socket")
	}
	var conns []net.Conn
	// Unlike Read, Control does not wait for the Accept that is under way.
	controlErr := rc.Control(func(fd uintptr) {
		for {
			var c net.Conn
			if c, err = acceptOne(int(fd)); c == nil {
				return
			}
			conns = append(conns, c)
		}
	})
	if err == nil {
		err = controlErr
	}
	return conns, errors.Wrap(err, "accept")
}

// acceptOne accepts a connection, or returns nil if none waits.
func acceptOne(listening int) (net.Conn, error) {
	for {
		fd, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			f := os.NewFile(uintptr(fd), "")
			defer f.Close() // FileConn uses a copy
			return net.FileConn(f)
		case errors.Is(err, unix.EAGAIN):
			return nil, nil
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default:
			return nil, err
		}
	}
}
