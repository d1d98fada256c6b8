package kqsoak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	proxyBlock = 32 << 10             // bytes that a Proxy passes on at once
	slowBlock  = 2 << 10              // the same while it reads slowly
	slowPause  = 8 * time.Millisecond // between two slow blocks, so 250 kB/s
	lateTime   = time.Second          // after a fault, while held bytes may still arrive
	dialLimit  = time.Second          // to the other side of a Proxy
)

// direction is a direction of a connection through a Proxy.
type direction int

const (
	forward  direction = iota // from the side that connects
	backward                  // to it
)

// Interference is what a Proxy does to the connections through it; the zero value passes
// all on.
type Interference struct {
	Delay time.Duration // of each block
	Held  [2]bool       // directions whose bytes are kept back, as on a link that loses packets
	Slow  bool          // reads slowly, in both directions
}

// Proxy is a TCP proxy on loopback in front of one address, which can interfere with the
// connections through it.
type Proxy struct {
	to       string
	listener net.Listener
	done     sync.WaitGroup

	mu      sync.Mutex
	mode    Interference
	changed chan struct{} // closed when mode changes
	pipes   map[*pipe]bool
	late    time.Time // until which bytes may arrive late
	closed  bool
}

// pipe is one connection through a Proxy.
type pipe struct {
	near, far *net.TCPConn
	silent    bool // passes nothing on and closes nothing; guarded by mu of the proxy
}

// StartProxy listens on a free loopback port for connections to the address to, an IP:port.
// It fails when it cannot listen.
func StartProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "proxy to %s", to)
	}
	p := &Proxy{to: to, listener: l, changed: make(chan struct{}), pipes: map[*pipe]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// Addr returns the IP:port that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and all connections through it.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Interfere(Interference{})
	p.Reset()
	p.done.Wait()
}

// Interfere sets what the proxy does from now on. Bytes that it has kept back are passed on
// once their direction is no longer held.
func (p *Proxy) Interfere(mode Interference) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteLate()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// Silence makes the connections that exist pass nothing on any more, without closing them.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pipes {
		c.silent = true
	}
}

// Reset ends the connections that exist with a reset to both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pipes {
		c.abort()
	}
}

// Late reports whether bytes may arrive through the proxy later than the time that a loopback
// connection takes, so that their arrival says little about when they were sent.
func (p *Proxy) Late(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode != Interference{} || now.Before(p.late)
}

// noteLate extends the time in which bytes may arrive late; the caller holds p.mu.
func (p *Proxy) noteLate() {
	if (p.mode != Interference{}) {
		p.late = time.Now().Add(lateTime)
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		near, ok := conn.(*net.TCPConn)
		if !ok {
			conn.Close()
			continue
		}
		p.done.Go(func() { p.serve(near) })
	}
}

func (p *Proxy) serve(near *net.TCPConn) {
	conn, err := (&net.Dialer{Timeout: dialLimit}).Dial("tcp", p.to)
	far, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		_ = near.SetLinger(0) // the caller sees a reset: nothing listens behind the proxy
		near.Close()
		return
	}
	c := &pipe{near: near, far: far}
	p.mu.Lock()
	if p.closed {
		c.abort()
	}
	p.pipes[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, far, near, forward) })
	copies.Go(func() { p.copy(c, near, far, backward) })
	copies.Wait()
	p.mu.Lock()
	delete(p.pipes, c)
	p.mu.Unlock()
	near.Close()
	far.Close()
}

// copy passes on what arrives from src until it ends.
func (p *Proxy) copy(c *pipe, dst, src *net.TCPConn, d direction) {
	buf := make([]byte, proxyBlock)
	for {
		n, err := src.Read(buf[:p.block()])
		silent := p.await(c, d)
		switch {
		case silent && err != nil:
			return
		case silent:
			continue
		}
		if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
			c.abort()
			return
		}
		switch {
		case err == io.EOF:
			_ = dst.CloseWrite() // fails if the other side is gone, which its own copy notices
			return
		case err != nil:
			c.abort()
			return
		}
	}
}

func (p *Proxy) block() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode.Slow {
		return slowBlock
	}
	return proxyBlock
}

// await waits until a block may be passed on, and reports whether the connection is silent.
func (p *Proxy) await(c *pipe, d direction) (silent bool) {
	for delayed := false; ; {
		p.mu.Lock()
		mode, changed, silent := p.mode, p.changed, c.silent
		p.mu.Unlock()
		pause := mode.Delay
		if mode.Slow {
			pause += slowPause
		}
		switch {
		case silent:
			return true
		case mode.Held[d]:
			<-changed
		case pause > 0 && !delayed:
			time.Sleep(pause)
			delayed = true
		default:
			return false
		}
	}
}

// abort ends both sides with a reset.
func (c *pipe) abort() {
	for _, conn := range []*net.TCPConn{c.near, c.far} {
		_ = conn.SetLinger(0) // fails if it is closed already
		conn.Close()
	}
}
