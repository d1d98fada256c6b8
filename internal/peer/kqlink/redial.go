package kqlink

import (
	"context"
	"net"
	"time"
)

const (
	minRedialDelay = 100 * time.Millisecond // before the first retry
	maxRedialDelay = time.Second            // upper bound of the delay, which doubles with each retry

	// startupDialInterval is the delay while this host has no link at all. When all
	// hosts restart together, an exponential backoff would delay the first link by
	// more than the duration of an election after the other hosts are up.
	startupDialInterval = 50 * time.Millisecond
	startupPeriod       = 10 * time.Second // a host without a link for longer is no longer starting up
)

// dialTimeout bounds one attempt to connect. TCP resends a lost SYN only after a
// second, so a new attempt is faster than waiting for it.
const dialTimeout = 500 * time.Millisecond

// isStartingUp reports whether a host that has had no link for d has just started.
func isStartingUp(d time.Duration) bool { return d >= 0 && d < startupPeriod }

// redialBackoff computes the delays between the attempts to connect to one peer.
type redialBackoff struct {
	delay time.Duration
}

// reset restarts the backoff, after a link or an attempt longer than maxRedialDelay.
func (r *redialBackoff) reset() { r.delay = 0 }

// next returns the delay before the next attempt; the caller adds jitter of 50 %.
// withoutLink is the result of Mesh.timeWithoutLink.
func (r *redialBackoff) next(withoutLink time.Duration) time.Duration {
	if isStartingUp(withoutLink) {
		return startupDialInterval
	}
	r.delay = min(max(2*r.delay, minRedialDelay), maxRedialDelay)
	return r.delay
}

// dialFunc opens one connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialStaggered connects to the address. While this host starts up, it begins a
// further attempt every startupDialInterval and keeps the earlier ones: the SYN to
// a peer that is still powered off is lost although the peer may be up a moment
// later, and a distant peer needs one long attempt.
func dialStaggered(ctx context.Context, dial dialFunc, addr string, startingUp bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !startingUp {
		return dial(ctx, "tcp", addr)
	}
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	try := func() {
		conn, err := dial(ctx, "tcp", addr)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	ticker := time.NewTicker(startupDialInterval)
	defer ticker.Stop()
	go try()
	lastErr := context.DeadlineExceeded
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.conn, nil
			}
			lastErr = r.err
		case <-ticker.C:
			go try()
		case <-ctx.Done():
			return nil, lastErr
		}
	}
}
