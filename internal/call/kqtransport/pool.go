package kqtransport

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
)

const (
	// MaxIdleTime is the time after which an idle connection is closed.
	MaxIdleTime = 8 * time.Second

	// MaxIdleTimeAtMostOnce is the longest idle time of a connection that is reused
	// for a call that must not be executed twice. A middlebox may have dropped the
	// state of an older connection silently; a request that is lost there leaves it
	// unknown whether the call was executed.
	MaxIdleTimeAtMostOnce = 500 * time.Millisecond

	dialTimeout = 300 * time.Millisecond
)

// errPoolExhausted means that all connections that this host may open to the
// target are in use.
var errPoolExhausted = errors.New("all connections to the target are in use")

// targetConns holds the connections to one target.
type targetConns struct {
	idle []*conn // newest last
	open int     // number of connections, idle and in use
}

// Pool holds connections to targets. The number of connections to each target is
// limited. A Pool is safe for concurrent use.
type Pool struct {
	pacer *Pacer

	mu      sync.Mutex
	targets map[target]*targetConns
	closed  bool
}

// target is what connections belong to: a target that starts again at its address does
// not get those of its earlier start.
type target struct {
	addr     string
	instance string
}

// Config constructs a Pool.
type Config struct {
	Pacer *Pacer // of long request bodies; nil: they are written as fast as the connection takes them
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{pacer: cfg.Pacer, targets: map[target]*targetConns{}}
}

// get returns a connection that has been idle for at most maxIdle, or a new one
// if fewer than limit are open to the target. It returns errPoolExhausted if
// limit is reached.
func (p *Pool) get(ctx context.Context, to target, limit int, maxIdle time.Duration) (*conn, error) {
	if maxIdle > 0 {
		if c := p.reuse(to, maxIdle); c != nil {
			return c, nil
		}
	}
	if !p.reserve(to, limit) {
		return nil, errPoolExhausted
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		p.release(to)
		return nil, err
	}
	kqsocket.BoundUnacked(raw, unackedTimeout)
	c := &conn{Conn: raw, target: to}
	c.attachBuffers()
	return c, nil
}

// reuse takes the most recently used idle connection, nil if there is none. It
// closes those that have been idle for too long or are no longer usable.
func (p *Pool) reuse(to target, maxIdle time.Duration) *conn {
	for {
		c := p.pop(to)
		if c == nil {
			return nil
		}
		limit := maxIdle
		if c.idleLimit > 0 {
			limit = min(limit, c.idleLimit)
		}
		if time.Since(c.idleSince) <= limit && c.usable() {
			c.attachBuffers()
			return c
		}
		p.drop(c)
	}
}

// pop takes the newest idle connection to the target, nil if there is none.
func (p *Pool) pop(to target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.targets[to]
	if b == nil || len(b.idle) == 0 {
		return nil
	}
	c := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return c
}

// reserve counts a new connection to the target unless limit are open already.
func (p *Pool) reserve(to target, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.targets[to]
	if b == nil {
		b = &targetConns{}
		p.targets[to] = b
	}
	if b.open >= limit {
		return false
	}
	b.open++
	return true
}

// release uncounts a connection that is closed or could not be opened.
func (p *Pool) release(to target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.targets[to]
	b.open--
	if b.open == 0 {
		delete(p.targets, to)
	}
}

// drop closes a connection and makes room for another one to its target.
func (p *Pool) drop(c *conn) {
	c.Close()
	p.release(c.target)
}

// put returns a connection to the pool. It closes the connection if bytes are left
// over in the buffers, since they belong to no request.
func (p *Pool) put(c *conn) {
	if !c.releaseBuffers() {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed {
		b := p.targets[c.target]
		b.idle = append(b.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

// CloseIdle closes the idle connections to the instance at the address.
func (p *Pool) CloseIdle(addr, instance string) {
	to := target{addr, instance}
	for c := p.pop(to); c != nil; c = p.pop(to) {
		p.drop(c)
	}
}

// CloseExpired closes the connections that have been idle for longer than MaxIdleTime, and
// those that can carry no further request: the target closed them, or sends bytes that belong
// to no request, which would fill the socket buffer until then.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var expired []*conn
	for _, b := range p.targets {
		b.idle = slices.DeleteFunc(b.idle, func(c *conn) bool {
			ends := time.Since(c.idleSince) > MaxIdleTime || !c.usable()
			if ends {
				expired = append(expired, c)
			}
			return ends
		})
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
}

// Close closes all idle connections. Those in use are closed when they are
// returned to the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var idle []*conn
	for _, b := range p.targets {
		idle = append(idle, b.idle...)
		b.idle = nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// HasIdle reports whether a connection to the instance at the address can be used again.
func (p *Pool) HasIdle(addr, instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.targets[target{addr, instance}]
	return b != nil && len(b.idle) > 0 && time.Since(b.idle[len(b.idle)-1].idleSince) <= MaxIdleTime
}

// OpenConns returns the number of open connections to the address, idle and in use.
func (p *Pool) OpenConns(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for to, b := range p.targets {
		if to.addr == addr {
			n += b.open
		}
	}
	return n
}
