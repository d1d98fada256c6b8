package kqlistener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnGrace is how long a stop waits for the first request on a connection that
	// was just accepted: a few round trips to callers.
	newConnGrace = time.Second

	// retireInterval is the time between two looks for connections that have become idle
	// during a stop.
	retireInterval = 50 * time.Millisecond
)

// Listener accepts connections for an http.Server, which must use its ConnContext and
// ConnState. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool // StopAccepting was called, so a connection without a request need not be waited for
	closed  bool // all connections that were accepted are in conns
}

// New returns a Listener that accepts from l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		l.mu.Lock()
		l.closed = l.closing
		l.mu.Unlock()
		return nil, err
	}
	c := newConn(raw, l)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// ConnContext returns a context that ends when the caller at the other end has left.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	mine, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, mine.cancel = context.WithCancel(ctx)
	return ctx
}

// ConnState records which connections have a request in progress.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	mine, ok := c.(*conn)
	switch {
	case !ok:
	case state == http.StateActive:
		mine.becameActive()
	case state == http.StateIdle:
		mine.becameIdle()
	}
}

// Drain ends all connections, each after the response to the request that was read from
// it, and goes on accepting meanwhile, unless StopAccepting was called. It returns when
// none is left, or with the context's error.
func (l *Listener) Drain(ctx context.Context) error {
	tick := time.NewTicker(retireInterval)
	defer tick.Stop()
	for {
		if l.retire() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// retire ends the idle connections and reports whether none is open.
func (l *Listener) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.retire(l.closing)
	}
	return len(l.conns) == 0 && l.closing == l.closed
}

// StopAccepting closes the listening socket; open connections go on. A server must be
// accepting.
func (l *Listener) StopAccepting() error {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	return l.Listener.Close()
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
