package kqtransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// inlineBody is the largest request body in bytes that is written before the
// answer is read: it fits the buffers between the two ends.
const maxInlineBody = 32 << 10

// Request is one attempt of a call.
type Request struct {
	Method     string
	URL        *url.URL // path and query as the caller sent them
	Host       string
	Header     http.Header // without hop-by-hop fields
	Body       []byte
	Trailer    http.Header
	Addr       string // IP:port of the target
	MaxConns   int    // connections to the target that this host may have open
	AtMostOnce bool   // must not run twice

	// Rest follows Body on the wire; with it Length is the whole, -1 if unknown.
	BodyRest   io.Reader
	BodyLength int64
	// Hold is called, if it is there, when all but the last byte is written: a
	// target begins when it has the whole body.
	// Its context ends with the exchange; the last byte is then not sent.
	BeforeLastByte func(context.Context)
	// CloseEnds takes an answer without a length that its connection ends in
	// order for whole; one that is reset never is.
	AcceptCloseDelimited bool
}

// Error says what is known of a request that got no answer.
type Error struct {
	Unsent        bool // no byte can have reached the target
	PoolExhausted bool // all connections are in use: the target itself is not at fault
	err           error
}

func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Reply is the answer of a target. Close must be called.
type Reply struct {
	Status     int
	Header     http.Header
	Trailer    http.Header // complete after Body has ended
	Body       io.Reader   // ends with io.EOF only after the whole answer
	BodyLength int64       // bytes of Body, -1 if unknown

	pool           *Pool
	conn           *conn
	unwatchContext func() bool
	cancelWrite    context.CancelFunc // of a hold that is still under way
	reusable       bool
	complete       bool
}

// Send sends the request once and reads the answer's head.
func (p *Pool) Send(ctx context.Context, req Request) (*Reply, error) {
	maxIdle := MaxIdleTime
	if req.AtMostOnce {
		maxIdle = MaxIdleTimeAtMostOnce
	}
	c, err := p.get(ctx, req.Addr, req.MaxConns, maxIdle)
	if err != nil {
		return nil, &Error{Unsent: true, PoolExhausted: errors.Is(err, errPoolExhausted), err: errors.Wrapf(err, "connect to %s", req.Addr)}
	}
	c.bytesWritten = 0
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	reply, err := p.exchange(ctx, c, req)
	if err == nil {
		reply.unwatchContext = stop
		return reply, nil
	}
	stop()
	p.drop(c)
	return nil, &Error{Unsent: c.bytesWritten == 0, err: errors.Wrapf(err, "call to %s", req.Addr)}
}

func (p *Pool) exchange(ctx context.Context, c *conn, req Request) (*Reply, error) {
	out := newHTTPRequest(ctx, req)
	held, end := context.WithCancel(ctx)
	written := make(chan error, 1)
	inline := len(req.Body) <= maxInlineBody && req.BodyRest == nil && req.BeforeLastByte == nil
	if inline {
		written <- c.write(out)
	} else {
		// A target may answer before it has read a large body.
		go func() { written <- c.writeHoldingLastByte(held, out, req.BeforeLastByte) }()
	}
	if inline {
		if err := <-written; err != nil {
			end()
			return nil, err
		}
		written <- nil
	}
	res, err := readFinalHead(c, out)
	if err != nil {
		end()
		c.Close() // ends a write that is still under way
		<-written
		return nil, err
	}
	c.parseKeepAlive(res.Header.Get("Keep-Alive"))
	reply := p.newReply(c, res, written, req.AcceptCloseDelimited)
	reply.cancelWrite = end
	return reply, nil
}

func (c *conn) write(out *http.Request) error {
	if err := out.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// writeHeld is write with a call before the last byte.
func (c *conn) writeHoldingLastByte(ctx context.Context, out *http.Request, hold func(context.Context)) error {
	if hold == nil {
		return c.write(out)
	}
	last := &lastByteWriter{w: countingWriter{c}}
	w := bufio.NewWriterSize(last, bufferSize)
	if err := out.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	hold(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	return last.flush()
}

// allButLast passes on what is written but for the last byte, until finish.
type lastByteWriter struct {
	w       io.Writer
	pending []byte
}

func (a *lastByteWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := a.flush(); err != nil {
		return 0, err
	}
	n, err := a.w.Write(p[:len(p)-1])
	if err != nil {
		return n, err
	}
	a.pending = []byte{p[len(p)-1]}
	return len(p), nil
}

func (a *lastByteWriter) flush() error {
	kept := a.pending
	a.pending = nil
	if len(kept) == 0 {
		return nil
	}
	_, err := a.w.Write(kept)
	return err
}

func newHTTPRequest(ctx context.Context, req Request) *http.Request {
	out := &http.Request{
		Method: req.Method, URL: req.URL, Host: req.Host, Header: req.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Trailer: req.Trailer,
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
		out.ContentLength = int64(len(req.Body))
	}
	if req.BodyRest != nil {
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.Body), req.BodyRest))
		out.ContentLength = req.BodyLength
		if req.BodyLength < 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	}
	if len(req.Trailer) > 0 {
		out.ContentLength = -1
		out.TransferEncoding = []string{"chunked"}
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out.WithContext(ctx)
}

// readHead reads the first final answer head.
func readFinalHead(c *conn, out *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.r, out)
		if err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switches protocols")
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

func (p *Pool) newReply(c *conn, res *http.Response, written <-chan error, closeEnds bool) *Reply {
	r := &Reply{
		Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer,
		BodyLength: res.ContentLength, pool: p, conn: c,
	}
	chunked := len(res.TransferEncoding) > 0
	bounded := chunked || res.ContentLength >= 0 || res.Body == http.NoBody
	r.Body = &responseBody{reply: r, res: res, acceptEOF: bounded || closeEnds, persistent: bounded, writeDone: written}
	return r
}

// ErrUnbounded says that the answer's end cannot be told from a break.
var ErrCloseDelimited = errors.New("answer of unknown length ended by close")

// body reads the answer and notes whether it ended whole.
type responseBody struct {
	reply      *Reply
	res        *http.Response
	acceptEOF  bool // the end of the answer can be told from a break
	persistent bool // the connection may go on behind the answer
	writeDone  <-chan error
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.res.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.acceptEOF {
		return n, ErrCloseDelimited
	}
	b.reply.Trailer = b.res.Trailer
	b.reply.complete = true
	select {
	case werr := <-b.writeDone:
		b.reply.reusable = b.persistent && werr == nil && !b.res.Close
	default:
	}
	return n, err
}

// Close gives the connection back if the whole answer was read, and closes it
// otherwise, so that a late rest can never be taken for another answer.
func (r *Reply) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	r.cancelWrite()
	if r.unwatchContext() && r.reusable && r.complete {
		r.pool.put(c)
		return
	}
	r.pool.drop(c)
}
