package kqtransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/call/kqresponse"

	"github.com/cockroachdb/errors"
)

// maxInlineBody is the largest request body in bytes that is written completely
// before the response is read. It fits into the socket buffers, so that the write
// does not block.
const maxInlineBody = 32 << 10

// Request is one attempt to send a call to a target.
type Request struct {
	Method     string
	URL        *url.URL // path and query as the caller sent them
	Host       string
	Header     http.Header // without hop-by-hop fields
	Body       []byte
	Trailer    http.Header
	Addr       string // IP:port of the target
	Instance   string // start of the target; connections to another one at the address are not used
	MaxConns   int    // limit of open connections from this host to the target
	AtMostOnce bool   // must not be executed twice
	NoReuse    bool   // needs a new connection, as its response could not be told from an earlier one's

	IsProbe bool // asks for the load of the target

	// IsForeign, if not nil, reports whether a response answers another request that the
	// connection carried earlier. Such responses are skipped.
	IsForeign func(earlier Exchanges, status int, h http.Header) bool

	// BeforeFirstByte, if not nil, is called when the connection is established, before
	// the first byte is written. After an error nothing is sent.
	BeforeFirstByte func() error

	// BodyRest, if not nil, is sent after Body. BodyLength is then the length in
	// bytes of both together, -1 if unknown.
	BodyRest   io.Reader
	BodyLength int64
	// BeforeLastByte, if not nil, is called when all bytes but the last one are
	// written. It can delay the execution, since a target starts when it has the
	// whole body. Its context is cancelled when the exchange ends; the last byte is
	// then not sent.
	BeforeLastByte func(context.Context)
	// AcceptCloseDelimited accepts a response without a length as complete if the
	// target closes its connection in an orderly way. A response that ends in a
	// reset is never complete.
	AcceptCloseDelimited bool
}

// Exchanges counts the requests that a connection has carried.
type Exchanges struct {
	Requests      int
	Probes        int
	RefusedProbes int // probes that were answered, but not with success
}

// add counts one exchange.
func (e *Exchanges) add(isProbe bool, status int) {
	if !isProbe {
		e.Requests++
		return
	}
	e.Probes++
	if status != http.StatusOK {
		e.RefusedProbes++
	}
}

// Error is the failure of a request that got no response.
type Error struct {
	Unsent        bool // no byte has reached the target
	PoolExhausted bool // all connections are in use, which is no failure of the target
	err           error
}

func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Reply is the response of a target. The caller must call Close.
type Reply struct {
	Status     int
	Header     http.Header
	Trailer    http.Header // complete once Body has returned io.EOF
	Body       io.Reader   // returns io.EOF only after the complete response
	BodyLength int64       // length of Body in bytes, -1 if unknown
	Earlier    Exchanges   // on the connection before this request

	pool           *Pool
	conn           *conn
	unwatchContext func() bool
	cancelWrite    context.CancelFunc // stops a write that waits in BeforeLastByte
	reusable       bool
	complete       bool
	suspect        bool // the connection carried a response to another request
}

// Send sends the request once and returns the response when its header is read. It
// returns an *Error if there is no response.
func (p *Pool) Send(ctx context.Context, req Request) (*Reply, error) {
	maxIdle := MaxIdleTime
	if req.AtMostOnce {
		maxIdle = MaxIdleTimeAtMostOnce
	}
	if req.NoReuse {
		maxIdle = 0
	}
	c, err := p.get(ctx, target{req.Addr, req.Instance}, req.MaxConns, maxIdle)
	if err != nil {
		return nil, &Error{Unsent: true, PoolExhausted: errors.Is(err, errPoolExhausted), err: errors.Wrapf(err, "connect to %s", req.Addr)}
	}
	if req.BeforeFirstByte != nil {
		if err := req.BeforeFirstByte(); err != nil {
			p.drop(c)
			return nil, &Error{Unsent: true, err: errors.Wrapf(err, "call to %s", req.Addr)}
		}
	}
	c.bytesWritten = 0
	unwatchContext := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	reply, err := p.exchange(ctx, c, req)
	if err == nil {
		reply.unwatchContext = unwatchContext
		return reply, nil
	}
	unwatchContext()
	p.drop(c)
	return nil, &Error{Unsent: c.bytesWritten == 0, err: errors.Wrapf(err, "call to %s", req.Addr)}
}

// exchange writes the request and reads the header of the response.
func (p *Pool) exchange(ctx context.Context, c *conn, req Request) (*Reply, error) {
	out := newHTTPRequest(ctx, req)
	writeCtx, cancelWrite := context.WithCancel(ctx)
	writeDone := make(chan error, 1)
	inline := len(req.Body) <= maxInlineBody && req.BodyRest == nil && req.BeforeLastByte == nil
	if inline {
		writeDone <- c.write(out)
	} else {
		// A target may respond before it has read a large body.
		go func() { writeDone <- c.writeLong(writeCtx, out, p.pacer, req.BeforeLastByte) }()
	}
	if inline {
		if err := <-writeDone; err != nil {
			cancelWrite()
			return nil, err
		}
		writeDone <- nil
	}
	res, foreign, err := readOwnHead(c, out, req.IsForeign)
	if err != nil {
		cancelWrite()
		c.Close() // unblocks a write that is still in progress
		<-writeDone
		return nil, err
	}
	c.parseKeepAlive(res.Header.Get("Keep-Alive"))
	reply := p.newReply(c, res, writeDone, req.AcceptCloseDelimited)
	reply.cancelWrite = cancelWrite
	reply.Earlier, reply.suspect = c.carried, foreign
	c.carried.add(req.IsProbe, res.StatusCode)
	return reply, nil
}

// maxForeign bounds the responses to other requests that are skipped, and maxForeignBody
// the bytes of each. A target that sends more is out of step for good.
const (
	maxForeign     = 2
	maxForeignBody = 1 << 20
)

// ErrForeign means that the target sent only responses to other requests.
var ErrForeign = errors.New("responses to other requests only")

// readOwnHead reads the head of the response and skips responses to other requests, which
// a target may have sent twice or late. foreign tells that there were some.
func readOwnHead(c *conn, out *http.Request, isForeign func(Exchanges, int, http.Header) bool) (res *http.Response, foreign bool, err error) {
	for range maxForeign + 1 {
		if res, err = readFinalHead(c, out); err != nil {
			return nil, foreign, err
		}
		if isForeign == nil || !isForeign(c.carried, res.StatusCode, res.Header) {
			return res, foreign, nil
		}
		foreign = true
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBody))
		if err != nil {
			return nil, foreign, errors.Wrap(err, "response to another request")
		}
		if res.Close || n == maxForeignBody {
			break
		}
	}
	return nil, foreign, ErrForeign
}

func (c *conn) write(out *http.Request) error {
	if err := out.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// writeLong writes a request with a long body, paced, and calls beforeLastByte, if not
// nil, before the last byte.
func (c *conn) writeLong(ctx context.Context, out *http.Request, pacer *Pacer, beforeLastByte func(context.Context)) error {
	holdback := &lastByteWriter{w: pacer.Writer(ctx, countingWriter{c})}
	w := bufio.NewWriterSize(holdback, bufferSize)
	if err := out.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if beforeLastByte != nil {
		beforeLastByte(ctx)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return holdback.flush()
}

// lastByteWriter passes on all bytes written to it but the last one, which it keeps
// until flush.
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
	pending := a.pending
	a.pending = nil
	if len(pending) == 0 {
		return nil
	}
	_, err := a.w.Write(pending)
	return err
}

// newHTTPRequest converts req for the standard library, which writes it.
func newHTTPRequest(ctx context.Context, req Request) *http.Request {
	out := &http.Request{
		Method: req.Method, URL: kqheader.AsSent(req.URL), Host: req.Host, Header: req.Header,
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

// readFinalHead reads the header of the response and skips the interim (1xx) ones
// before it. It returns errHeadTooLong if all heads together are longer than maxHead,
// or one has too many fields, and an error if one is malformed.
func readFinalHead(c *conn, out *http.Request) (*http.Response, error) {
	defer c.limitHead()()
	for {
		res, err := http.ReadResponse(c.r, out)
		if err != nil && c.readLimit <= 0 {
			return nil, errHeadTooLong // the parser may report that the last line is malformed
		}
		if err != nil {
			return nil, err
		}
		if kqheader.TooMany(res.Header) {
			return nil, errHeadTooLong
		}
		if err := kqresponse.CheckHead(res.StatusCode, res.Header); err != nil {
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

func (p *Pool) newReply(c *conn, res *http.Response, writeDone <-chan error, acceptCloseDelimited bool) *Reply {
	r := &Reply{
		Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer,
		BodyLength: res.ContentLength, pool: p, conn: c,
	}
	delimited := kqresponse.IsDelimited(res)
	r.Body = &responseBody{reply: r, conn: c, res: res, acceptEOF: delimited || acceptCloseDelimited, persistent: delimited, writeDone: writeDone}
	return r
}

var errReset = errors.New("answer of unknown length ended by a reset")

// responseBody reads the body and records whether it was read completely.
type responseBody struct {
	reply      *Reply
	conn       *conn
	res        *http.Response
	acceptEOF  bool // an end of file means a complete response
	persistent bool // the connection can be used after the response
	writeDone  <-chan error
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.res.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.acceptEOF {
		return n, kqresponse.ErrCloseDelimited
	}
	if !b.persistent && b.conn.endedByReset() {
		return n, errReset
	}
	if err := kqresponse.CheckFields(b.res.Trailer); err != nil {
		return n, err
	}
	b.reply.Trailer = b.res.Trailer
	b.reply.complete = true
	select {
	case writeErr := <-b.writeDone:
		b.reply.reusable = b.persistent && writeErr == nil && !b.res.Close
	default:
	}
	return n, err
}

// DoNotReuse makes Close close the connection.
func (r *Reply) DoNotReuse() { r.suspect = true }

// Close returns the connection to the pool if the response was read completely.
// Otherwise it closes the connection, so that the remaining bytes cannot be taken
// for the response to another request.
func (r *Reply) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	r.cancelWrite()
	if r.unwatchContext() && r.reusable && r.complete && !r.suspect {
		r.pool.put(c)
		return
	}
	r.pool.drop(c)
}
