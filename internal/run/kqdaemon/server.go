package kqdaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/call/kqlistener"

	"github.com/cockroachdb/errors"
)

const (
	// serversTime bounds the end of the listeners that are not for callers: the longest
	// time in which the control address answers, and answerTime.
	serversTime = 850*time.Millisecond + answerTime

	// answerTime is how long before that end a request that is still undecided is told
	// so, instead of being cut.
	answerTime = 100 * time.Millisecond
)

// server is one listener of the host and what serves it.
type server struct {
	name     string
	listener *kqlistener.Listener
	inFlight atomic.Int64       // requests
	giveUp   context.CancelFunc // ends the contexts of its requests
}

// serve listens on the address and serves h there.
func (d *Daemon) serve(name, addr string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{name: name, listener: kqlistener.New(l), giveUp: cancel}
	srv := newServer(s.listener.Handler(s.count(h)))
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	srv.ConnContext, srv.ConnState = s.listener.ConnContext, s.listener.ConnState
	d.serveOn(s.listener, srv)
	return s, nil
}

// count returns a handler that counts the requests in progress of h.
func (s *server) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// end closes the listening socket, and returns once everything that was read is answered
// and all connections are closed, or when ctx ends.
func (s *server) end(ctx context.Context) error {
	if err := s.listener.StopAccepting(); err != nil {
		return err
	}
	return s.listener.Drain(ctx)
}

// endServers ends the listeners that are not for callers, once those are served or at last
// shortly before the end of the whole stop. What is undecided after a while, or once
// expedite is closed, is answered as that.
func (d *Daemon) endServers(callersServed context.Context, end time.Time, expedite <-chan struct{}) {
	select {
	case <-callersServed.Done():
	case <-time.After(time.Until(end) - closingTime):
	}
	if bound := time.Now().Add(serversTime); bound.Before(end) {
		end = bound
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go d.giveUpLate(ctx, end.Add(-answerTime), expedite)
	var wg sync.WaitGroup
	for _, s := range d.others {
		wg.Go(func() { d.endServer(ctx, s) })
	}
	wg.Wait()
}

func (d *Daemon) endServer(ctx context.Context, s *server) {
	err := s.end(ctx)
	n := s.inFlight.Load()
	switch {
	case n > 0:
		d.log.Warnf("stopping with %d requests in flight on the %s listener: %v", n, s.name, err)
	case err != nil && ctx.Err() == nil: // else only the ends of connections are under way
		d.log.Warnf("cannot end the %s listener: %v", s.name, err)
	}
}

// giveUpLate ends the contexts of undecided requests at the given time, or once expedite
// is closed.
func (d *Daemon) giveUpLate(ctx context.Context, at time.Time, expedite <-chan struct{}) {
	select {
	case <-time.After(time.Until(at)):
	case <-expedite:
	case <-ctx.Done():
		return
	}
	for _, s := range d.others {
		s.giveUp()
	}
}
