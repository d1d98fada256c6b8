package kqtransport

import (
	"context"
	"net"
	"sync"
	"time"

	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
)

const (
	// MaxIdle is the age at which an idle connection is closed.
	MaxIdleTime = 8 * time.Second

	// SureIdle is the idle age over which a call that must not run twice gets a
	// fresh connection: what stands between the two ends may have forgotten the
	// old one without a word, and then nobody can tell whether the call ran.
	MaxIdleTimeAtMostOnce = 500 * time.Millisecond

	dialTimeout = 300 * time.Millisecond
)

// errFull says that the target's connections from this host are all in use.
var errPoolExhausted = errors.New("all connections to the target are in use")

// bucket is the connections to one address.
type addrConns struct {
	idle []*conn // newest last
	open int     // idle and in use
}

// Pool keeps connections to targets, bounded for each target.
type Pool struct {
	mu     sync.Mutex
	addrs  map[string]*addrConns
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{addrs: map[string]*addrConns{}}
}

// get returns a connection that has been idle for at most maxIdle, or a new one
// if fewer than limit are open.
func (p *Pool) get(ctx context.Context, addr string, limit int, maxIdle time.Duration) (*conn, error) {
	if c := p.reuse(addr, maxIdle); c != nil {
		return c, nil
	}
	if !p.reserve(addr, limit) {
		return nil, errPoolExhausted
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(addr)
		return nil, err
	}
	kqsocket.BoundUnacked(raw, unackedTimeout)
	c := &conn{Conn: raw, addr: addr}
	c.attachBuffers()
	return c, nil
}

// reuse takes the newest idle connection that is still quiet.
func (p *Pool) reuse(addr string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(addr)
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

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.addrs[addr]
	if b == nil || len(b.idle) == 0 {
		return nil
	}
	c := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return c
}

func (p *Pool) reserve(addr string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.addrs[addr]
	if b == nil {
		b = &addrConns{}
		p.addrs[addr] = b
	}
	if b.open >= limit {
		return false
	}
	b.open++
	return true
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.addrs[addr]
	b.open--
	if b.open == 0 {
		delete(p.addrs, addr)
	}
}

// drop closes a connection.
func (p *Pool) drop(c *conn) {
	c.Close()
	p.release(c.addr)
}

// put gives a connection back for reuse; bytes that belong to no request end it.
func (p *Pool) put(c *conn) {
	if !c.releaseBuffers() {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed {
		b := p.addrs[c.addr]
		b.idle = append(b.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

// Forget closes the idle connections to the address.
func (p *Pool) CloseIdle(addr string) {
	for c := p.pop(addr); c != nil; c = p.pop(addr) {
		p.drop(c)
	}
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var old []*conn
	for _, b := range p.addrs {
		n := 0
		for n < len(b.idle) && time.Since(b.idle[n].idleSince) > MaxIdleTime {
			n++
		}
		old = append(old, b.idle[:n]...)
		b.idle = b.idle[n:]
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// Close closes all idle connections; those in use are closed when given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var idle []*conn
	for _, b := range p.addrs {
		idle = append(idle, b.idle...)
		b.idle = nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// Open returns how many connections are open to the address.
func (p *Pool) OpenConns(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.addrs[addr]; b != nil {
		return b.open
	}
	return 0
}
