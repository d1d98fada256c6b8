package kqproxy

import (
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqbody"

	"github.com/cockroachdb/errors"
)

// maxBufferedBody is how many bytes of a request body are read before the request is sent.
const maxBufferedBody = 1 << 20

// readBody reads the body before a target is chosen, so that a slow caller does not
// occupy a slot of a target. Of a long body it reads only the beginning. On an error
// it returns the HTTP status of the response; kqbody.ErrNoRoom says that the host holds as
// many bodies as it can.
func (p *proxiedRequest) readBody() (status int, err error) {
	if p.in.Body == nil || p.in.Body == http.NoBody {
		return 0, nil
	}
	limit := p.routing.table.Limits.Body
	if limit > 0 && p.in.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("body of %d bytes", p.in.ContentLength)
	}
	rc := http.NewResponseController(p.w)
	_ = rc.SetReadDeadline(p.deadline)                                                                                            // ends a caller that sends too slowly for its own deadline; not all writers support it
	p.buffer = p.engine.bodies.NewBuffer(p.in.ContentLength, maxBufferedBody, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // not all writers support it
	complete, err := p.buffer.Fill(p.in.Body, p.deadline, p.in.Context().Done())
	p.body = p.buffer.Bytes()
	if errors.Is(err, kqbody.ErrNoRoom) {
		return http.StatusServiceUnavailable, err
	}
	if err == nil && !complete {
		p.bodyRest = p.in.Body
		_ = rc.SetReadDeadline(p.deadline) // the buffer may have cut it; not all writers support it
		if limit > 0 {
			p.bodyRest = http.MaxBytesReader(nil, p.in.Body, limit-maxBufferedBody)
		}
	}
	if err != nil {
		p.w.Header().Set("Connection", "close")
		return http.StatusRequestTimeout, errors.Wrap(err, "body")
	}
	if p.bodyRest == nil {
		_ = rc.SetReadDeadline(time.Time{}) // not all writers support it
	}
	return 0, nil
}

// releaseBody lets other requests use the memory of the body.
func (p *proxiedRequest) releaseBody() {
	if p.buffer != nil {
		p.buffer.Release()
	}
}

// refuseBody responds to a request whose body was not read. If there was no room for it,
// the rest is discarded after the response, since closing the connection while the caller
// still sends could destroy the response.
func (p *proxiedRequest) refuseBody(status int, err error) {
	if !errors.Is(err, kqbody.ErrNoRoom) {
		p.refuse(status, err.Error(), 0)
		return
	}
	p.releaseBody()
	p.body = nil
	rc := http.NewResponseController(p.w)
	_ = rc.EnableFullDuplex() // the caller gets the response while it still sends; not all writers support it
	p.w.Header().Set("Connection", "close")
	p.refuse(status, err.Error(), p.retryAfter(false))
	_ = rc.Flush()                                          // an error shows at the next write
	_, _ = io.CopyN(io.Discard, p.in.Body, maxBufferedBody) // the connection ends either way
}
