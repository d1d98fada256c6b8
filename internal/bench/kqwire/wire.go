package kqwire

import (
	"net"
	"sync"
)

// Wire passes connections on to one address.
type Proxy struct {
	targetAddr  string
	listener    net.Listener
	running     sync.WaitGroup
	mu          sync.Mutex
	connections map[*connection]bool
}

// pipe is one connection that is passed on.
type connection struct {
	caller, target net.Conn
	mu             sync.Mutex
	silent         bool
}

// Start listens on any loopback port.
func Start(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Proxy{targetAddr: to, listener: l, connections: map[*connection]bool{}}
	w.running.Go(w.accept)
	return w, nil
}

// Addr returns the IP:port that stands for the target.
func (w *Proxy) Addr() string {
	return w.listener.Addr().String()
}

// Silence lets all open connections go silent: what either end sends is taken
// and lost, and neither end learns of anything.
func (w *Proxy) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.connections {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Close breaks all connections.
func (w *Proxy) Close() {
	w.listener.Close()
	w.mu.Lock()
	for p := range w.connections {
		p.caller.Close()
		p.target.Close()
	}
	w.mu.Unlock()
	w.running.Wait()
}

func (w *Proxy) accept() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", w.targetAddr)
		if err != nil {
			in.Close()
			continue
		}
		p := &connection{caller: in, target: out}
		w.mu.Lock()
		w.connections[p] = true
		w.mu.Unlock()
		w.running.Go(func() { p.forward(in, out) })
		w.running.Go(func() {
			p.forward(out, in)
			w.mu.Lock()
			delete(w.connections, p)
			w.mu.Unlock()
		})
	}
}

// pass copies from one end to the other until either breaks.
func (p *connection) forward(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		from.Close()
		if !silent {
			to.Close()
		}
		return
	}
}
