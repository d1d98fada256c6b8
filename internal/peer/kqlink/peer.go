package kqlink

import (
	"bufio"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/host/kqevent"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	minHeartbeatInterval = 2 * time.Second        // per link
	fullRateLinks        = 16                     // with more links the interval grows, so that the total rate stays the same
	maxSilentHeartbeats  = 2.5                    // heartbeat intervals without a message after which a link is closed
	unackedTimeout       = 5 * time.Second        // a connection with data unacknowledged for longer is closed
	maxReadPause         = 500 * time.Millisecond // between bytes of a message that is still arriving; an upload in between takes 300 ms on the slowest link
	queueLength          = 512                    // one-way messages waiting for one peer
	methodHeartbeat      = "b"                    // heartbeat
	methodHeartbeatReply = "h"                    // reply to a heartbeat
)

// envelope carries a message with the sender's hybrid time.
type envelope struct {
	Time kqevent.Timestamp `json:"h"`
	Body json.RawMessage   `json:"b,omitempty"`
}

// conn is one authenticated connection to a peer.
type conn struct {
	mesh         *Mesh
	peer         string
	raw          *watchedConn
	rpc          *jsonrpc2.Conn
	stream       *stream
	sendQueue    chan outgoing
	lastReceived atomic.Int64 // Unix time in nanoseconds
	once         sync.Once
}

// outgoing is a one-way message, either unencoded or as an encoded frame.
type outgoing struct {
	kind  string
	body  any
	frame []byte
}

// discardLogger drops the messages of jsonrpc2 about broken connections, which the
// mesh logs itself.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

func (m *Mesh) newConn(peer string, raw *watchedConn, r *bufio.Reader) *conn {
	c := &conn{mesh: m, peer: peer, raw: raw, sendQueue: make(chan outgoing, queueLength)}
	now := time.Now().UnixNano()
	c.lastReceived.Store(now)
	c.stream = &stream{raw: raw, r: r, codec: codec{m.sent, m.received}}
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, c, jsonrpc2.SetLogger(discardLogger{}))
	return c
}

// run serves the connection until it breaks.
func (c *conn) run() {
	interval := c.mesh.heartbeatInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer c.rpc.Close()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			return
		case o := <-c.sendQueue:
			if err := c.sendOneWay(o); err != nil {
				return
			}
		case now := <-ticker.C:
			if now.UnixNano()-c.lastSign() > int64(maxSilentHeartbeats*float64(interval)) {
				c.mesh.log.Warnf("peer %s sent nothing for too long; closing the link", c.peer)
				return
			}
			if now.UnixNano()-c.lastReceived.Load() >= int64(interval)/2 {
				if err := c.notifyEmpty(methodHeartbeat); err != nil {
					return
				}
			}
			interval = c.mesh.heartbeatInterval()
			ticker.Reset(interval)
		}
	}
}

// lastSign returns when the peer last gave a sign of life, in Unix nanoseconds: a message, or
// some bytes of one that takes long.
func (c *conn) lastSign() int64 { return max(c.lastReceived.Load(), c.raw.lastRead.Load()) }

// receiving reports whether a message is arriving: it has begun, and its bytes still come.
func (c *conn) receiving(now time.Time) bool {
	return c.stream.inFrame.Load() && now.UnixNano()-c.raw.lastRead.Load() < int64(maxReadPause)
}

// notifyEmpty sends a message without a body. A heartbeat and its reply serve both
// ends: an end that received a message recently sends no heartbeat of its own.
func (c *conn) notifyEmpty(method string) error {
	return c.rpc.Notify(context.Background(), method, nil)
}

func (m *Mesh) newEnvelope(body any) (envelope, error) {
	e := envelope{Time: m.clock.Next()}
	if body == nil {
		return e, nil
	}
	p, err := json.Marshal(body)
	e.Body = p
	return e, err
}

// sendOneWay sends a one-way message.
func (c *conn) sendOneWay(o outgoing) error {
	if o.frame != nil {
		return c.stream.write(o.frame)
	}
	e, err := c.mesh.newEnvelope(o.body)
	if err != nil {
		return err
	}
	return c.rpc.Notify(context.Background(), o.kind, e)
}

// call sends a request and decodes the response into out, which may be nil.
func (c *conn) call(ctx context.Context, kind string, body, out any) error {
	e, err := c.mesh.newEnvelope(body)
	if err != nil {
		return err
	}
	var answer envelope
	if err := c.rpc.Call(ctx, kind, e, &answer); err != nil {
		return errors.Wrapf(err, "%s to %s", kind, c.peer)
	}
	c.mesh.clock.Observe(answer.Time)
	if out == nil || len(answer.Body) == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(answer.Body, out), "%s to %s: answer", kind, c.peer)
}

// Handle implements jsonrpc2.Handler: it handles one-way messages of a
// peer in order, and each request in its own goroutine.
func (c *conn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	c.lastReceived.Store(time.Now().UnixNano())
	var e envelope
	if req.Params != nil {
		if err := json.Unmarshal(*req.Params, &e); err != nil {
			c.mesh.malformed.Inc(1)
			return
		}
	}
	c.mesh.clock.Observe(e.Time)
	switch {
	case req.Method == methodHeartbeatReply:
	case req.Method == methodHeartbeat:
		rpc.Notify(ctx, methodHeartbeatReply, nil) // on an error the connection breaks
	case req.Notif:
		c.mesh.receiver.Receive(c.peer, req.Method, e.Body)
	default:
		go c.answer(ctx, rpc, req, e.Body)
	}
}

func (c *conn) answer(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, body json.RawMessage) {
	res, err := c.mesh.receiver.HandleRequest(ctx, c.peer, req.Method, body)
	if err != nil {
		rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}) // on an error the connection breaks
		return
	}
	e, err := c.mesh.newEnvelope(res)
	if err != nil {
		return
	}
	rpc.Reply(ctx, req.ID, e) // on an error the connection breaks
}
