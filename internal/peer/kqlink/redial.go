package kqlink

import (
	"context"
	"net"
	"time"
)

const (
	minRedial = 100 * time.Millisecond // before the first new try to reach a peer
	maxRedial = time.Second            // before a later one, doubled until then

	// loneRedial is the pause while this host has no link at all: where all hosts
	// come back together, a doubled pause would outlast the others' start by
	// more than an election.
	loneRedial = 50 * time.Millisecond
	loneMost   = 10 * time.Second // after which being alone no longer is a start
)

// dialTimeout bounds one try to reach a peer: a first packet that is lost is sent
// again only after a second.
const dialTimeout = 500 * time.Millisecond

// isStart reports whether a host alone for so long is one that has just started.
func isStart(alone time.Duration) bool { return alone >= 0 && alone < loneMost }

// redial is the pauses between the tries to reach one peer.
type redial struct {
	pause time.Duration
}

// reached notes that the peer was there, or that the last try was slow enough.
func (r *redial) reached() { r.pause = 0 }

// next returns the time until the next try, to be spread over half of it and
// once more; alone is for how long this host has had no link, negative if it
// has one or others dial it.
func (r *redial) next(alone time.Duration) time.Duration {
	if isStart(alone) {
		return loneRedial
	}
	r.pause = min(max(2*r.pause, minRedial), maxRedial)
	return r.pause
}

// connector makes one connection, like net.Dialer.DialContext.
type connector func(ctx context.Context, network, addr string) (net.Conn, error)

// reach connects to the address. A host that has just started begins one more try
// each loneRedial while the earlier ones last: a peer that is still without power
// swallows a first packet, and may be there a moment later; one that is far away
// needs a long try.
func reach(ctx context.Context, connect connector, addr string, started bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !started {
		return connect(ctx, "tcp", addr)
	}
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	try := func() {
		conn, err := connect(ctx, "tcp", addr)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	again := time.NewTicker(loneRedial)
	defer again.Stop()
	go try()
	last := context.DeadlineExceeded
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.conn, nil
			}
			last = r.err
		case <-again.C:
			go try()
		case <-ctx.Done():
			return nil, last
		}
	}
}
