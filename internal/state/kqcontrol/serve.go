package kqcontrol

import (
	"context"
	"encoding/json"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

// requestTimeout bounds the work for a request of another host, whose own deadline
// is not known here.
const requestTimeout = 5 * time.Second

// ReceiveRaw decodes a one-way message of another control host and passes it to the
// replica. It returns an error if the message is malformed.
func (c *Control) ReceiveRaw(peer string, body json.RawMessage) error {
	var m kqreplica.Message
	if err := json.Unmarshal(body, &m); err != nil {
		return errors.Wrapf(err, "control: decode message from %s", peer)
	}
	c.Receive(peer, m)
	return nil
}

// HandleRequest handles a request of another host. It returns an error for an unknown
// kind or a malformed body.
func (l LocalStore) HandleRequest(ctx context.Context, kind string, body json.RawMessage) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	switch kind {
	case MethodSubmit:
		return decodeAndHandle(body, func(cmd kqcontract.Command) (any, error) { return l.Propose(ctx, cmd) })
	case MethodCommand:
		return decodeAndHandle(body, func(cmd kqcontract.Command) (any, error) { return l.Submit(ctx, cmd) })
	case MethodEvacuate:
		return decodeAndHandle(body, func(r evacuateRequest) (any, error) { return l.answerEvacuate(ctx, r) })
	case MethodRead:
		return decodeAndHandle(body, func(q Query) (any, error) { return l.Read(ctx, q) })
	case MethodReached:
		return decodeAndHandle(body, func(w waitInForceRequest) (any, error) { return l.WaitInForce(ctx, w.Revision, w.Wait) })
	}
	return nil, errors.Newf("control: no method %q", kind)
}

func decodeAndHandle[T any](body json.RawMessage, f func(T) (any, error)) (any, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, errors.Wrap(err, "control: request")
	}
	return f(v)
}
