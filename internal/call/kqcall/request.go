package kqcall

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquatglade/internal/call/kqbody"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/state/kqcheck"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

const (
	maxRetries   = 3   // retries allowed for a call and all its nested calls together
	maxDepth     = 9   // nesting depth of a call
	maxKeyLength = 256 // bytes of an idempotency key or a call ID
)

// request is a caller's call with its validated header fields and body.
type request struct {
	owner        string
	version      uint64
	service      kqcontract.Service
	idempotent   bool
	key          string // idempotency key, empty if none
	deadline     time.Time
	retries      int
	depth        int
	callerCallID string      // call ID from the caller's header, empty if none
	header       http.Header // to send to the target
	body         []byte
	buffer       *kqbody.Buffer // of body, nil if there is none
}

// checkRequest validates everything of the call but its body. A non-nil problem is
// the response to a rejected call.
func (e *Engine) checkRequest(r *http.Request, now time.Time) (*request, *problem) {
	q := &request{owner: r.Header.Get(kqheader.Owner)}
	name := r.Header.Get(kqheader.Service)
	reject := func(status int, code, detail string) (*request, *problem) {
		return q, &problem{Error: code, Owner: q.owner, Service: name, Version: q.version, Run: kqheader.RunNo, Detail: detail, status: status}
	}
	if kqheader.TooMany(r.Header) {
		return reject(http.StatusRequestHeaderFieldsTooLarge, "malformed", "too many header fields")
	}
	v := e.cfg.View()
	if v == nil {
		p := problem{Error: "cut", Owner: q.owner, Service: name, Run: kqheader.RunNo, status: http.StatusServiceUnavailable, wait: time.Second}
		return q, &p
	}
	if !kqcheck.IsName(q.owner) || !kqcheck.IsName(name) {
		return reject(http.StatusBadRequest, "malformed", kqheader.Owner+" and "+kqheader.Service+" are required")
	}
	c := v.Contracts[q.owner]
	if c == nil {
		return reject(http.StatusNotFound, "owner", "")
	}
	q.version = c.Version
	if !authorized(c, r.Header.Get("Authorization")) {
		return reject(http.StatusUnauthorized, "key", "")
	}
	s, ok := c.Service(name)
	if !ok {
		return reject(http.StatusNotFound, "service", "")
	}
	q.service = s
	if err := q.readHeader(r, now); err != nil {
		return reject(http.StatusBadRequest, "malformed", err.Error())
	}
	if p := e.checkShutdown(q); p != nil {
		return q, p
	}
	q.header = targetHeader(r.Header, len(c.Keys) > 0)
	return q, nil
}

// checkShutdown returns the response to a call that this host might not answer before it
// is gone, or nil.
func (e *Engine) checkShutdown(q *request) *problem {
	if e.shutdown.Takes(q.deadline) {
		return nil
	}
	p := q.problem(http.StatusServiceUnavailable, "stopping", kqheader.RunNo, 0)
	return &p
}

// authorized reports whether the bearer key matches a key of the contract, or the
// contract has none. It compares all keys in constant time, so that timing reveals
// nothing about them.
func authorized(c *kqcontract.Contract, authorization string) bool {
	if len(c.Keys) == 0 {
		return true
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	presented := []byte("sha256:" + hex.EncodeToString(sum[:]))
	match := 0
	for _, k := range c.Keys {
		match |= subtle.ConstantTimeCompare([]byte(k), presented)
	}
	return match == 1
}

// readHeader parses the header fields that control the call. It returns an error if
// one is out of range.
func (q *request) readHeader(r *http.Request, now time.Time) error {
	q.idempotent = q.service.IsIdempotent(r.Method, kqheader.Path(r.URL))
	q.key = r.Header.Get(kqheader.IdempotencyKey)
	if len(q.key) > maxKeyLength {
		return errors.Newf("%s: at most %d characters", kqheader.IdempotencyKey, maxKeyLength)
	}
	limit := time.Duration(q.service.Deadline)
	remainingMs, err := headerInt(r.Header, kqheader.Deadline, int(limit.Milliseconds()), 0)
	if err != nil {
		return err
	}
	q.deadline = now.Add(min(limit, time.Duration(remainingMs)*time.Millisecond))
	if q.retries, err = headerInt(r.Header, kqheader.Retries, maxRetries, maxRetries); err != nil {
		return err
	}
	q.depth, err = headerInt(r.Header, kqheader.Depth, 0, maxDepth)
	q.callerCallID = r.Header.Get(kqheader.CallID)
	if len(q.callerCallID) > maxKeyLength {
		q.callerCallID = ""
	}
	return err
}

// headerInt parses a non-negative integer header field. It returns defaultValue if
// the field is missing; a positive maxValue limits the value.
func headerInt(h http.Header, name string, defaultValue, maxValue int) (int, error) {
	value := h.Get(name)
	if value == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || maxValue > 0 && n > maxValue {
		return 0, errors.Newf("%s: %q is not allowed", name, value)
	}
	return n, nil
}

// hopByHop lists the header fields that apply to a single connection and are not
// forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the header without its hop-by-hop fields.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// targetHeader returns the header to send to the target.
func targetHeader(h http.Header, contractHasKeys bool) http.Header {
	out := endToEnd(h)
	if contractHasKeys {
		out.Del("Authorization") // the owner's key must not reach the target
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // stops the HTTP library from adding its own
	}
	return out
}

// readBody reads the whole body before the call takes a target's slot, so that a
// slow caller does not occupy one. It returns an error if the body is larger than
// the service allows or is not read before the call's deadline, and kqbody.ErrNoRoom if
// this host holds as many bodies as it can.
func (q *request) readBody(bodies *kqbody.Memory, w http.ResponseWriter, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > q.service.Body {
		return errors.Newf("body of %d bytes: at most %d", r.ContentLength, q.service.Body)
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(q.deadline) // best effort: not every ResponseWriter supports deadlines
	q.buffer = bodies.NewBuffer(r.ContentLength, q.service.Body+1, func() { rc.SetReadDeadline(time.Unix(1, 0)) })
	complete, err := q.buffer.Fill(r.Body, q.deadline, r.Context().Done())
	if err != nil {
		return errors.Wrap(err, "body")
	}
	q.body = q.buffer.Bytes()
	if !complete || int64(len(q.body)) > q.service.Body {
		return errors.Newf("body: at most %d bytes", q.service.Body)
	}
	rc.SetReadDeadline(time.Time{}) // best effort, as above
	return nil
}

// releaseBody lets other calls use the memory of the body.
func (q *request) releaseBody() {
	if q.buffer != nil {
		q.buffer.Release()
	}
}

func (q *request) problem(status int, code, run string, wait time.Duration) problem {
	return problem{
		Error: code, Owner: q.owner, Service: q.service.Name, Version: q.version,
		Run: run, status: status, wait: wait,
	}
}

func formatCallID(host string, id uint64) string {
	return fmt.Sprintf("%s-%x", host, id)
}
