package kqlistener

import (
	"sync"
	"time"
)

const (
	// maxHeadBytes is how many bytes of heads that are still arriving the connections of a
	// listener hold together. Short fields take 20 times as much once they are parsed, which
	// is then a tenth of the smallest host's memory.
	maxHeadBytes = 1 << 19

	freeHead = 4 << 10 // bytes of each head that do not count: the usual ones are shorter
)

// heads bounds the memory of heads that are still arriving: a head that never ends is kept
// until its time is over. It is safe for concurrent use.
type heads struct {
	mu    sync.Mutex
	held  int
	conns map[*conn]arrivingHead
}

// arrivingHead is a head of which over freeHead bytes have arrived.
type arrivingHead struct {
	bytes int
	since time.Time
}

// set records how many bytes of a head have arrived on the connection. If there are too many
// in all, it ends the connection that has sent one for the longest.
func (h *heads) set(c *conn, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.conns[c]
	if !ok {
		entry.since = time.Now()
	}
	h.held += bytes - entry.bytes
	entry.bytes = bytes
	h.conns[c] = entry
	if h.held > maxHeadBytes {
		h.endOldest()
	}
}

// endOldest ends the connection whose head has been arriving for the longest. The lock is
// held.
func (h *heads) endOldest() {
	var oldest *conn
	for c := range h.conns {
		if oldest == nil || h.conns[c].since.Before(h.conns[oldest].since) {
			oldest = c
		}
	}
	h.drop(oldest)
	oldest.tooSlow.Store(true)
	_ = oldest.Conn.SetReadDeadline(past) // a failure shows at the next read
}

// remove records that no head is arriving on the connection.
func (h *heads) remove(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(c)
}

func (h *heads) drop(c *conn) {
	h.held -= h.conns[c].bytes
	delete(h.conns, c)
}

// countHead counts the bytes of a head that is arriving. The lock is held.
func (c *conn) countHead() {
	if c.closed {
		return // Close has removed it
	}
	arriving := c.listener.framed.Load() && !c.handling && c.framing.handed > freeHead
	if arriving {
		c.listener.heads.set(c, c.framing.handed)
	} else if c.headCounted {
		c.listener.heads.remove(c)
	}
	c.headCounted = arriving
}
