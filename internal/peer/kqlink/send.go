package kqlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// loopback delivers what parts of this host send to this host.
func (m *Mesh) loopback() {
	defer m.wg.Done()
	for {
		select {
		case <-m.ctx.Done():
			return
		case o := <-m.selfQueue:
			if err := m.deliver(o); err != nil {
				m.malformed.Inc(1)
				m.log.Errorf("message to itself: %v", err)
			}
		}
	}
}

// deliver hands a message of this host to this host.
func (m *Mesh) deliver(o outgoing) error {
	frame := o.frame
	if frame == nil {
		var err error
		if frame, err = m.Encode(o.kind, o.body); err != nil {
			return err
		}
	}
	var req jsonrpc2.Request
	if err := (codec{received: metrics.NilCounter{}}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), &req); err != nil {
		return err
	}
	var e envelope
	if err := json.Unmarshal(*req.Params, &e); err != nil {
		return err
	}
	m.receiver.Receive(m.cfg.Host, req.Method, e.Body)
	return nil
}

func (m *Mesh) callSelf(ctx context.Context, kind string, body, out any) error {
	p, err := json.Marshal(body)
	if err != nil {
		return err
	}
	res, err := m.receiver.HandleRequest(ctx, m.cfg.Host, kind, p)
	if err != nil || out == nil {
		return err
	}
	p, err = json.Marshal(res)
	if err != nil {
		return err
	}
	return json.Unmarshal(p, out)
}

// Send queues a one-way message; without a link, or with a full queue, it is dropped.
func (m *Mesh) Send(peer, kind string, body any) {
	m.queue(peer, outgoing{kind: kind, body: body})
}

func (m *Mesh) queue(peer string, o outgoing) {
	out := m.selfQueue
	if peer != m.cfg.Host {
		c := m.conn(peer)
		if c == nil {
			return
		}
		out = c.sendQueue
	}
	select {
	case out <- o:
	default:
		m.dropped.Inc(1)
	}
}

// Encode returns the message as it travels, to be sent more than once.
func (m *Mesh) Encode(kind string, body any) ([]byte, error) {
	e, err := m.newEnvelope(body)
	if err != nil {
		return nil, err
	}
	req := jsonrpc2.Request{Method: kind, Notif: true}
	if err := req.SetParams(e); err != nil {
		return nil, err
	}
	return encode(&req)
}

// SendEncoded queues the encoded message for each of the peers.
func (m *Mesh) SendEncoded(peers []string, message []byte) {
	for _, peer := range peers {
		m.queue(peer, outgoing{frame: message})
	}
}

// Call sends a request and waits for its answer; ErrDown says it was not sent.
func (m *Mesh) Call(ctx context.Context, peer, kind string, body, out any) error {
	if peer == m.cfg.Host {
		return m.callSelf(ctx, kind, body, out)
	}
	c := m.conn(peer)
	if c == nil {
		return errors.Wrapf(ErrNoLink, "%s to %s", kind, peer)
	}
	return c.call(ctx, kind, body, out)
}
