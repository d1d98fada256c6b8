package kqlistener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is how many descriptors a listener leaves to the rest of the process:
	// the journal opens two files for a segment and its folder, and a snapshot as many.
	reservedDescriptors = 8

	// callersReserve is what the connections of callers leave, so that operators, targets and
	// control hosts are still accepted while callers take all that they can.
	callersReserve = 2 * reservedDescriptors
)

// takesReserve reports whether the descriptor of the connection is one of those that are
// reserved. The kernel gives out the lowest free descriptor, so all lower ones are in use.
func takesReserve(c net.Conn, reserve uint64) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return false // the connection is served, as if there were no limit
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	reserved := false
	_ = raw.Control(func(fd uintptr) { reserved = uint64(fd)+reserve >= limit.Cur }) // an error means that it is closed
	return reserved
}
