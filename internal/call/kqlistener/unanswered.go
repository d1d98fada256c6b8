package kqlistener

import (
	"math"

	"kumquatglade/internal/peer/kqsocket"

	"golang.org/x/sys/unix"
)

// unanswered returns how many bytes have arrived of further requests, as far as it can be
// told where the current one ends. The lock is held.
func (c *conn) unanswered() int {
	n := len(c.ahead)
	if c.ended == nil {
		n += c.unread()
	}
	switch {
	case !c.handling:
		return c.framing.whole + c.framing.handed + n
	case c.bodyDone:
		return c.framing.handed + n
	case c.framing.body > 0:
		return max(0, n-int(min(c.framing.body, math.MaxInt32)))
	default:
		return 0
	}
}

// unread returns how many bytes have arrived that were not read from the connection.
func (c *conn) unread() (n int) {
	kqsocket.Control(c.Conn, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return n
}

// closeCause says why a connection was closed.
type closeCause string

const (
	causeLeft      closeCause = "left"      // the caller has left
	causeStop      closeCause = "stop"      // the end of the stop, or of the process
	causeBroken    closeCause = "broken"    // the response was broken off
	causeMalformed closeCause = "malformed" // the request before was malformed
	causeTimeout   closeCause = "timeout"   // the rest of the request did not arrive in time
	causeClosing   closeCause = "closing"   // the response before closed the connection
)

var closeCauses = []closeCause{causeLeft, causeStop, causeBroken, causeTimeout, causeMalformed, causeClosing}

// whyClosed returns why the connection is closed. The lock is held.
func (c *conn) whyClosed() closeCause {
	switch {
	case c.ended != nil:
		return causeLeft
	case c.listener.ended.Load() && !c.finished:
		return causeStop
	case c.handling && c.broken:
		return causeBroken
	case c.malformed:
		return causeMalformed
	case c.timedOut:
		return causeTimeout
	case c.handling:
		return causeClosing
	default:
		return causeStop
	}
}
