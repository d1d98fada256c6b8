package kqwire

import (
	"net"
	"sync"
)

// Wire passes connections on to one address.
type Wire struct {
	to       string
	listener net.Listener
	wait     sync.WaitGroup
	mu       sync.Mutex
	open     map[*pipe]bool
}

// pipe is one connection that is passed on.
type pipe struct {
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

// Start listens on any loopback port.
func Start(to string) (*Wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Wire{to: to, listener: l, open: map[*pipe]bool{}}
	w.wait.Go(w.accept)
	return w, nil
}

// Addr returns the IP:port that stands for the target.
func (w *Wire) Addr() string {
	return w.listener.Addr().String()
}

// Silence lets all open connections go silent: what either end sends is taken
// and lost, and neither end learns of anything.
func (w *Wire) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.open {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Close breaks all connections.
func (w *Wire) Close() {
	w.listener.Close()
	w.mu.Lock()
	for p := range w.open {
		p.in.Close()
		p.out.Close()
	}
	w.mu.Unlock()
	w.wait.Wait()
}

func (w *Wire) accept() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", w.to)
		if err != nil {
			in.Close()
			continue
		}
		p := &pipe{in: in, out: out}
		w.mu.Lock()
		w.open[p] = true
		w.mu.Unlock()
		w.wait.Go(func() { p.pass(in, out) })
		w.wait.Go(func() {
			p.pass(out, in)
			w.mu.Lock()
			delete(w.open, p)
			w.mu.Unlock()
		})
	}
}

// pass copies from one end to the other until either breaks.
func (p *pipe) pass(from, to net.Conn) {
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
