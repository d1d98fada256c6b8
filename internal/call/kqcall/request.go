package kqcall

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/state/kqcheck"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

const (
	maxRetries   = 3 // extra sends of a call and of all calls below it
	maxDepth     = 9 // calls above a call
	maxKeyLength = 256
)

// request is a caller's call after its checks.
type request struct {
	owner        string
	version      uint64
	service      kqcontract.Service
	idempotent   bool
	key          string // of the caller's request, empty if none
	deadline     time.Time
	retries      int
	depth        int
	callerCallID string
	header       http.Header // for the target
	body         []byte
}

// check reads everything of the call but its body; a non-nil problem refuses it.
func (e *Engine) checkRequest(r *http.Request, now time.Time) (*request, *problem) {
	q := &request{owner: r.Header.Get(kqheader.Owner)}
	name := r.Header.Get(kqheader.Service)
	refuse := func(status int, word, detail string) (*request, *problem) {
		return q, &problem{Error: word, Owner: q.owner, Service: name, Version: q.version, Run: kqheader.RunNo, Detail: detail, status: status}
	}
	v := e.cfg.View()
	if v == nil {
		p := problem{Error: "cut", Owner: q.owner, Service: name, Run: kqheader.RunNo, status: http.StatusServiceUnavailable, wait: time.Second}
		return q, &p
	}
	if !kqcheck.IsWord(q.owner) || !kqcheck.IsWord(name) {
		return refuse(http.StatusBadRequest, "malformed", kqheader.Owner+" and "+kqheader.Service+" are required")
	}
	c := v.Contracts[q.owner]
	if c == nil {
		return refuse(http.StatusNotFound, "owner", "")
	}
	q.version = c.Version
	if !authorized(c, r.Header.Get("Authorization")) {
		return refuse(http.StatusUnauthorized, "key", "")
	}
	s, ok := c.Service(name)
	if !ok {
		return refuse(http.StatusNotFound, "service", "")
	}
	q.service = s
	if err := q.readHeader(r, now); err != nil {
		return refuse(http.StatusBadRequest, "malformed", err.Error())
	}
	q.header = targetHeader(r.Header, len(c.Keys) > 0)
	return q, nil
}

// allowed compares the presented key with all keys of the contract in constant time.
func authorized(c *kqcontract.Contract, authorization string) bool {
	if len(c.Keys) == 0 {
		return true
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	word := []byte("sha256:" + hex.EncodeToString(sum[:]))
	match := 0
	for _, k := range c.Keys {
		match |= subtle.ConstantTimeCompare([]byte(k), word)
	}
	return match == 1
}

// read takes the header fields that shape the call.
func (q *request) readHeader(r *http.Request, now time.Time) error {
	q.idempotent = q.service.IsIdempotent(r.Method, r.URL.Path)
	q.key = r.Header.Get(kqheader.IdempotencyKey)
	if len(q.key) > maxKeyLength {
		return errors.Newf("%s: at most %d characters", kqheader.IdempotencyKey, maxKeyLength)
	}
	limit := time.Duration(q.service.Deadline)
	left, err := headerInt(r.Header, kqheader.Deadline, int(limit.Milliseconds()), 0)
	if err != nil {
		return err
	}
	q.deadline = now.Add(min(limit, time.Duration(left)*time.Millisecond))
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

// number reads a header field of digits; a top over 0 bounds it.
func headerInt(h http.Header, name string, missing, top int) (int, error) {
	word := h.Get(name)
	if word == "" {
		return missing, nil
	}
	n, err := strconv.Atoi(word)
	if err != nil || n < 0 || top > 0 && n > top {
		return 0, errors.Newf("%s: %q is not allowed", name, word)
	}
	return n, nil
}

// hopByHop fields concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd copies the fields that pass through.
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

func targetHeader(h http.Header, ownKeys bool) http.Header {
	out := endToEnd(h)
	if ownKeys {
		out.Del("Authorization") // the owner's key is for the system only
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	return out
}

// readBody reads the whole body before a target's slot is taken, so that a
// slow caller holds none.
func (q *request) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > q.service.Body {
		return errors.Newf("body of %d bytes: at most %d", r.ContentLength, q.service.Body)
	}
	http.NewResponseController(w).SetReadDeadline(q.deadline) // no deadline is borne
	body, err := io.ReadAll(io.LimitReader(r.Body, q.service.Body+1))
	if err != nil {
		return errors.Wrap(err, "body")
	}
	if int64(len(body)) > q.service.Body {
		return errors.Newf("body: at most %d bytes", q.service.Body)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // as above
	q.body = body
	return nil
}

func (q *request) problem(status int, word, run string, wait time.Duration) problem {
	return problem{
		Error: word, Owner: q.owner, Service: q.service.Name, Version: q.version,
		Run: run, status: status, wait: wait,
	}
}

func formatCallID(host string, id uint64) string {
	return fmt.Sprintf("%s-%x", host, id)
}
