package kqlink

import (
	"context"
	"net"
	"time"
)

const (
	minRedialDelay = 100 * time.Millisecond // before the first new try to reach a peer
	maxRedialDelay = time.Second            // before a later one, doubled until then

	// loneRedial is the pause while this host has no link at all: where all hosts
	// come back together, a doubled pause would outlast the others' start by
	// more than an election.
	startupDialInterval = 50 * time.Millisecond
	startupPeriod       = 10 * time.Second // after which being alone no longer is a start
)

// dialTimeout bounds one try to reach a peer: a first packet that is lost is sent
// again only after a second.
const dialTimeout = 500 * time.Millisecond

// isStart reports whether a host alone for so long is one that has just started.
func isStartingUp(alone time.Duration) bool { return alone >= 0 && alone < startupPeriod }

// redial is the pauses between the tries to reach one peer.
type redialBackoff struct {
	delay time.Duration
}

// reached notes that the peer was there, or that the last try was slow enough.
func (r *redialBackoff) reset() { r.delay = 0 }

// next returns the time until the next try, to be spread over half of it and
// once more; alone is for how long this host has had no link, negative if it
// has one or others dial it.
func (r *redialBackoff) next(alone time.Duration) time.Duration {
	if isStartingUp(alone) {
		return startupDialInterval
	}
	r.delay = min(max(2*r.delay, minRedialDelay), maxRedialDelay)
	return r.delay
}

// connector makes one connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// reach connects to the address. A host that has just started begins one more try
// each loneRedial while the earlier ones last: a peer that is still without power
// swallows a first packet, and may be there a moment later; one that is far away
// needs a long try.
func dialStaggered(ctx context.Context, connect dialFunc, addr string, started bool) (net.Conn, error) {
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
	again := time.NewTicker(startupDialInterval)
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
