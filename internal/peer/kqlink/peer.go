package kqlink

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kumquatglade/internal/host/kqevent"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	minHeartbeatInterval = 2 * time.Second // between two heartbeats of a link
	fullRateLinks        = 16              // with more links heartbeats are further apart, so that their sum stays the same
	maxSilentHeartbeats  = 2.5             // heartbeats after which a link counts as silent
	unackedTimeout       = 5 * time.Second // unacknowledged data breaks a connection after this
	queueLength          = 512             // one-way messages waiting for one peer
	methodHeartbeat      = "b"             // are you there
	methodHeartbeatReply = "h"             // answer to a heartbeat
)

// envelope carries a message with the sender's hybrid time.
type envelope struct {
	Time kqevent.Timestamp `json:"h"`
	Body json.RawMessage   `json:"b,omitempty"`
}

// conn is one proven connection to a peer.
type conn struct {
	mesh         *Mesh
	peer         string
	raw          net.Conn
	rpc          *jsonrpc2.Conn
	stream       *stream
	sendQueue    chan outgoing
	lastReceived atomic.Int64 // unix nanoseconds of the last message in
	once         sync.Once
}

// outgoing is a one-way message: to be encoded, or encoded as a frame.
type outgoing struct {
	kind  string
	body  any
	frame []byte
}

// quiet drops what jsonrpc2 would log of broken connections: the mesh does so.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

func (m *Mesh) newConn(peer string, raw net.Conn, r *bufio.Reader) *conn {
	c := &conn{mesh: m, peer: peer, raw: raw, sendQueue: make(chan outgoing, queueLength)}
	now := time.Now().UnixNano()
	c.lastReceived.Store(now)
	c.stream = &stream{raw: raw, r: r, codec: codec{m.sent, m.received}}
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, c, jsonrpc2.SetLogger(discardLogger{}))
	return c
}

// run serves the connection until it breaks.
func (c *conn) run() {
	every := c.mesh.heartbeatInterval()
	beat := time.NewTicker(every)
	defer beat.Stop()
	defer c.rpc.Close()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			return
		case o := <-c.sendQueue:
			if err := c.sendOneWay(o); err != nil {
				return
			}
		case now := <-beat.C:
			if now.UnixNano()-c.lastReceived.Load() > int64(maxSilentHeartbeats*float64(every)) {
				c.mesh.log.Warnf("peer %s is silent", c.peer)
				return
			}
			if now.UnixNano()-c.lastReceived.Load() >= int64(every)/2 {
				if err := c.notifyEmpty(methodHeartbeat); err != nil {
					return
				}
			}
			every = c.mesh.heartbeatInterval()
			beat.Reset(every)
		}
	}
}

// short sends a message without a body. A heartbeat and its answer serve both
// ends: who has heard the other one lately sends none of its own.
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

// post sends a one-way message.
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

// call sends a request and decodes its answer into out, which may be nil.
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

// Handle implements jsonrpc2.Handler: messages of a peer come in order,
// requests run beside them.
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
		rpc.Notify(ctx, methodHeartbeatReply, nil) // the link tells
	case req.Notif:
		c.mesh.receiver.Receive(c.peer, req.Method, e.Body)
	default:
		go c.answer(ctx, rpc, req, e.Body)
	}
}

func (c *conn) answer(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, body json.RawMessage) {
	res, err := c.mesh.receiver.HandleRequest(ctx, c.peer, req.Method, body)
	if err != nil {
		rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}) // the link tells
		return
	}
	e, err := c.mesh.newEnvelope(res)
	if err != nil {
		return
	}
	rpc.Reply(ctx, req.ID, e) // the link tells
}
