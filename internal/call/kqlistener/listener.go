package kqlistener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/host/kqlog"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// newConnGrace is how long a stop waits for the first request on a connection that
	// was just accepted: a few round trips to callers.
	newConnGrace = time.Second

	// keepTime is how long a stop waits for a further request behind a response that did not
	// say that its connection ends: a few round trips to callers.
	keepTime = time.Second

	acceptPause = 20 * time.Millisecond // after a connection that could not be accepted

	// retireInterval is the time between two looks for connections that have become idle
	// during a stop.
	retireInterval = 50 * time.Millisecond
)

// Config constructs a Listener.
type Config struct {
	Listener net.Listener
	Log      *kqlog.Log
	Metrics  metrics.Registry
}

// Listener accepts connections for an http.Server, which must use its ConnContext,
// ConnState and Handler. It is safe for concurrent use.
type Listener struct {
	net.Listener
	log           *kqlog.Log
	unanswered    map[closeCause]metrics.Counter // connections closed with bytes of a further request
	noDescriptors metrics.Counter                // connections closed because too few descriptors were left
	reserve       uint64                         // descriptors that are left to the rest of the process
	ended         atomic.Bool                    // Close was called: the server closes all connections
	framed        atomic.Bool                    // Handler is used, so that heads and bodies can be told apart
	heads         heads

	mu      sync.Mutex
	conns   map[*conn]struct{}
	taken   []net.Conn // accepted when the listening socket was about to close, for Accept
	closing bool       // StopAccepting was called, so a connection without a request need not be waited for
	closed  bool       // all connections that were accepted are in conns
}

// New returns a Listener that accepts from l, not for callers, and records nothing.
func New(l net.Listener) *Listener {
	out := Open(Config{Listener: l, Log: kqlog.Discard(), Metrics: metrics.NewRegistry()})
	out.reserve = reservedDescriptors
	return out
}

// Open returns a Listener for callers.
func Open(cfg Config) *Listener {
	l := &Listener{Listener: cfg.Listener, reserve: callersReserve, log: cfg.Log, unanswered: map[closeCause]metrics.Counter{}, conns: map[*conn]struct{}{}, heads: heads{conns: map[*conn]arrivingHead{}}}
	l.noDescriptors = metrics.GetOrRegisterCounter("callers.nodescriptors", cfg.Metrics)
	for _, cause := range closeCauses {
		l.unanswered[cause] = metrics.GetOrRegisterCounter("callers.unanswered."+string(cause), cfg.Metrics)
	}
	return l
}

// Accept waits for the next connection. An error of a single connection, or of a kernel
// without memory for it, does not end the listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.acceptOne()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warnf("callers: cannot accept: %v", err)
		time.Sleep(acceptPause)
		raw, err = l.acceptOne()
	}
	if err != nil {
		if raw = l.nextTaken(); raw == nil {
			return nil, err
		}
	}
	c := newConn(raw, l)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// errNoDescriptors means that a connection was closed because the process is short of
// descriptors.
var errNoDescriptors = errors.New("too few descriptors are left")

// acceptOne waits for the next connection. It closes one that would take a reserved descriptor.
func (l *Listener) acceptOne() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil || !takesReserve(raw, l.reserve) {
		return raw, err
	}
	l.noDescriptors.Inc(1)
	return nil, errors.CombineErrors(errNoDescriptors, raw.Close())
}

// nextTaken returns a connection that StopAccepting took. If none is left, all that were
// accepted are in conns.
func (l *Listener) nextTaken() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.taken) == 0 {
		l.closed = l.closing
		return nil
	}
	c := l.taken[0]
	l.taken = l.taken[1:]
	return c
}

// ConnContext returns a context that ends when the caller at the other end has left. Its
// cause is the error if that is certain, as after a reset.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	mine, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, mine.cancel = context.WithCancelCause(ctx)
	return context.WithValue(ctx, connKey{}, mine)
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Handler returns a handler that tells the connection where the body of a request ends, and
// has it served by h.
func (l *Listener) Handler(h http.Handler) http.Handler {
	l.framed.Store(true)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		broken := true
		defer func() { c.finish(broken) }()
		c.begin(r.ContentLength)
		if !r.ProtoAtLeast(1, 1) {
			c.resetUnlessComplete()
		}
		h.ServeHTTP(w, r)
		broken = false
	})
}

// MoreArrived reports whether the caller has sent anything behind the request with the
// context, so that the response must not close the connection yet. A handler that may not
// have read the body to its end says so. Once connections are accepted no more, a caller
// that never stops sending is given only some time.
func MoreArrived(ctx context.Context, bodyRead bool) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.moreArrived(bodyRead)
}

// KeepOpen keeps the connection open for a while after the response to the request with the
// context, although it is to end, and reports whether it will be.
func KeepOpen(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.keepOpen()
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

// StopAccepting closes the listening socket; open connections go on, and those that the
// kernel had accepted are served. A server must be accepting.
func (l *Listener) StopAccepting() error {
	l.mu.Lock()
	l.closing = true
	taken, err := acceptWaiting(l.Listener)
	l.taken = append(l.taken, taken...)
	l.mu.Unlock()
	if err != nil {
		l.log.Warnf("callers: connections that wait to be accepted may be reset: %v", err)
	}
	return l.Listener.Close()
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Close closes the listening socket, when the server is about to close all connections.
func (l *Listener) Close() error {
	l.ended.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.taken {
		c.Close()
	}
	l.taken = nil
	return l.Listener.Close()
}

// recordUnanswered records that a connection is closed with bytes of further requests.
func (l *Listener) recordUnanswered(c *conn, bytes int, why closeCause) {
	l.log.Info().Str("caller", c.RemoteAddr().String()).Int("bytes", bytes).Str("cause", string(why)).
		Msg("callers: closed with bytes of a request that gets no answer")
	l.unanswered[why].Inc(1)
}
