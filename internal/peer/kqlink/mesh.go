package kqlink

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	acceptRetryDelay = 50 * time.Millisecond // after a failed accept
	dialHeadStart    = time.Second           // the host with the higher name dials this much later, so that a pair opens one connection
)

// ErrNoLink means that there is no link to the peer and nothing was sent.
var ErrNoLink = errors.New("no link")

// Receiver handles what peers send.
type Receiver interface {
	kq.Receiver
	// HandleRequest handles one request of the authenticated peer host.
	HandleRequest(ctx context.Context, peer, kind string, body json.RawMessage) (any, error)
	// LinkChanged reports that the link to the peer came up or broke.
	LinkChanged(peer string, up bool)
}

// Config constructs a Mesh.
type Config struct {
	Host              string
	Listen            string // IP:port
	Secret            string
	Clock             *kqevent.Clock
	Log               *kqlog.Log
	Metrics           metrics.Registry
	Receiver          Receiver
	OutboundOnly      bool          // no other host dials this one, so it dials without a head start for the peer
	HeartbeatInterval time.Duration // per link up to fullRateLinks links, minHeartbeatInterval if 0
}

// Mesh holds one link to each peer host.
type Mesh struct {
	cfg       Config
	clock     *kqevent.Clock
	log       *kqlog.Log
	receiver  Receiver
	sent      metrics.Counter
	received  metrics.Counter
	malformed metrics.Counter
	rejected  metrics.Counter
	dropped   metrics.Counter
	listener  net.Listener
	selfQueue chan outgoing // messages from this host to itself

	notifyMu sync.Mutex // held while the receiver is notified of a link

	greetingsMu sync.Mutex
	greetings   []net.Conn // connections whose dialer is not authenticated yet, oldest first

	mu         sync.Mutex
	conns      map[string]*conn
	started    time.Time
	lastLinked time.Time // when the last link broke, or the start time
	dialers    map[string]*dialer
	wg         sync.WaitGroup
	closed     bool
	ctx        context.Context
	cancel     context.CancelFunc
}

type dialer struct {
	addr string
	stop context.CancelFunc
}

// Listen listens on the peers address and accepts connections of peers.
func Listen(cfg Config) (*Mesh, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	return start(cfg, l), nil
}

func start(cfg Config, l net.Listener) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Metrics) }
	m := &Mesh{
		cfg: cfg, clock: cfg.Clock, log: cfg.Log, receiver: cfg.Receiver, listener: l, selfQueue: make(chan outgoing, queueLength),
		conns: map[string]*conn{}, started: time.Now(), lastLinked: time.Now(), dialers: map[string]*dialer{}, ctx: ctx, cancel: cancel,
		sent: counter("link.sent.bytes"), received: counter("link.received.bytes"),
		malformed: counter("link.malformed"), rejected: counter("link.rejected"), dropped: counter("link.dropped"),
	}
	m.wg.Add(2)
	go m.accept()
	go m.loopback()
	return m
}

// Close closes all links and waits until their goroutines have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.cancel()
	for _, c := range m.conns {
		c.raw.Close()
	}
	m.mu.Unlock()
	m.listener.Close()
	m.wg.Wait()
}

func (m *Mesh) accept() {
	defer m.wg.Done()
	for {
		raw, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) || m.ctx.Err() != nil {
			return
		}
		if err != nil {
			m.log.Warnf("accept: %v", err) // out of file descriptors, for example: the next accept may succeed
			sleep(m.ctx, acceptRetryDelay)
			continue
		}
		m.wg.Add(1)
		go m.serve(raw)
	}
}

func (m *Mesh) serve(raw net.Conn) {
	defer m.wg.Done()
	defer raw.Close()
	stop := context.AfterFunc(m.ctx, func() { raw.Close() })
	defer stop()
	kqsocket.BoundUnacked(raw, unackedTimeout)
	watched := &watchedConn{Conn: raw}
	r := bufio.NewReader(watched)
	m.beginGreeting(raw)
	peer, err := serverHandshake(raw, r, m.cfg.Host, m.cfg.Secret)
	m.endGreeting(raw)
	if err != nil {
		m.rejected.Inc(1)
		m.log.Warnf("rejected %s: %v", raw.RemoteAddr(), err)
		return
	}
	m.serveLink(peer, watched, r)
}

// maxGreetings bounds the connections whose dialer is not authenticated: several times the
// hosts of the largest cluster, which may all dial at once.
const maxGreetings = 1024

// beginGreeting records a connection whose dialer is not authenticated yet. Beyond the bound
// it closes the oldest one, since a peer needs far less time than a stranger may take.
func (m *Mesh) beginGreeting(raw net.Conn) {
	m.greetingsMu.Lock()
	defer m.greetingsMu.Unlock()
	m.greetings = append(m.greetings, raw)
	if len(m.greetings) > maxGreetings {
		m.greetings[0].Close()
		m.greetings = slices.Delete(m.greetings, 0, 1)
	}
}

func (m *Mesh) endGreeting(raw net.Conn) {
	m.greetingsMu.Lock()
	defer m.greetingsMu.Unlock()
	m.greetings = slices.DeleteFunc(m.greetings, func(c net.Conn) bool { return c == raw })
}

// serveLink uses the connection as the link to the peer until it breaks.
func (m *Mesh) serveLink(peer string, raw *watchedConn, r *bufio.Reader) {
	c := m.newConn(peer, raw, r)
	if !m.addLink(c) {
		c.rpc.Close()
		return
	}
	c.run()
	m.removeLink(c)
}

// addLink and removeLink notify the receiver in the order in which links come up and
// break. In the wrong order a connected peer would count as lost.
func (m *Mesh) addLink(c *conn) bool {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	if !m.setConn(c) {
		return false
	}
	m.receiver.LinkChanged(c.peer, true)
	return true
}

func (m *Mesh) setConn(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	if old := m.conns[c.peer]; old != nil {
		old.raw.Close() // the peer uses the newer connection
	}
	m.conns[c.peer] = c
	return true
}

func (m *Mesh) removeLink(c *conn) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	current := m.conns[c.peer] == c
	if current {
		m.lastLinked = time.Now()
		delete(m.conns, c.peer)
	}
	m.mu.Unlock()
	if current {
		m.receiver.LinkChanged(c.peer, false)
	}
}

// Dial dials the peer at the address and redials whenever the link breaks.
func (m *Mesh) Dial(peer, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := m.dialers[peer]; d != nil {
		if d.addr == addr {
			return
		}
		d.stop()
	}
	if m.closed {
		return
	}
	ctx, stop := context.WithCancel(m.ctx)
	m.dialers[peer] = &dialer{addr: addr, stop: stop}
	m.wg.Add(1)
	go m.dialLoop(ctx, peer, addr)
}

// Hangup stops dialling the peer and closes its link.
func (m *Mesh) Hangup(peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := m.dialers[peer]; d != nil {
		d.stop()
		delete(m.dialers, peer)
	}
	if c := m.conns[peer]; c != nil {
		c.raw.Close()
	}
}

func (m *Mesh) dialLoop(ctx context.Context, peer, addr string) {
	defer m.wg.Done()
	var backoff redialBackoff
	if m.cfg.Host > peer && !m.cfg.OutboundOnly {
		sleep(ctx, dialHeadStart)
	}
	for ctx.Err() == nil {
		attemptStart := time.Now()
		if m.conn(peer) == nil {
			if err := m.dial(ctx, peer, addr); err != nil {
				m.log.Debugf("dial %s at %s: %v", peer, addr, err)
			}
		}
		if m.conn(peer) != nil || time.Since(attemptStart) > maxRedialDelay {
			backoff.reset()
		}
		delay := backoff.next(m.timeWithoutLink())
		sleep(ctx, delay/2+rand.N(delay))
	}
}

// timeWithoutLink returns how long an outbound-only host has had no link, negative
// if it has one; for any other host it returns the time since the start.
func (m *Mesh) timeWithoutLink() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.cfg.OutboundOnly:
		return time.Since(m.started)
	case len(m.conns) > 0:
		return -1
	}
	return time.Since(m.lastLinked)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (m *Mesh) dial(ctx context.Context, peer, addr string) error {
	var d net.Dialer
	raw, err := dialStaggered(ctx, d.DialContext, addr, isStartingUp(m.timeWithoutLink()))
	if err != nil {
		return err
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	kqsocket.BoundUnacked(raw, unackedTimeout)
	watched := &watchedConn{Conn: raw}
	r := bufio.NewReader(watched)
	if err := clientHandshake(raw, r, m.cfg.Host, peer, m.cfg.Secret); err != nil {
		return err
	}
	m.serveLink(peer, watched, r)
	return nil
}

// heartbeatInterval returns the interval of the heartbeats of each link. It grows
// with the number of links, so that the heartbeat traffic of a host does not.
func (m *Mesh) heartbeatInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.cfg.HeartbeatInterval
	if interval == 0 {
		interval = minHeartbeatInterval
	}
	return interval * time.Duration(max(len(m.conns), fullRateLinks)) / fullRateLinks
}

func (m *Mesh) conn(peer string) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[peer]
}

// Up reports whether there is a link to the peer now; a host reaches itself.
func (m *Mesh) Up(peer string) bool {
	return peer == m.cfg.Host || m.conn(peer) != nil
}

// Receiving reports whether a message of the peer is arriving now.
func (m *Mesh) Receiving(peer string) bool {
	c := m.conn(peer)
	return c != nil && c.receiving(time.Now())
}

// Host returns the name of this host.
func (m *Mesh) Host() string {
	return m.cfg.Host
}
