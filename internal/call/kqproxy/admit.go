package kqproxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"

	"github.com/phuslu/log"
)

// Limiter applies the limits of owners, which hold over all entry hosts together.
type Limiter interface {
	// Take returns the decision for one send of a request of an owner with a limit; late says
	// that its answer cannot be in time.
	Take(ctx context.Context, o *kqroutes.Owner, late bool) kqtokens.Decision
	// Return gives back a token whose request was not sent, or was not run.
	Return(o *kqroutes.Owner, t kqtokens.Token)
	// Valid reports whether the token may still be used.
	Valid(t kqtokens.Token) bool
}

// admission is what has become of the owner's limit for the request.
type admission struct {
	limit   kqtokens.Decision // decided last; the zero value if the owner has no limit
	limitOf *kqroutes.Owner   // whose limit that is
	held    bool              // the token of limit has not been used
}

// Causes of refusals by an owner's limit.
const (
	causeLimit       = "the owner's limit is used up"
	causeNoLimiter   = "no control host answers for the owner's limit"
	causeLimitGaveUp = "the caller or its deadline ended before the owner's limit was decided"
	causeLimitExpiry = "the token for the owner's limit has expired"
)

func (p *proxiedRequest) limited() bool {
	return p.owner != nil && p.owner.Limited() && p.engine.cfg.Limiter != nil
}

// admit takes a token for the next send, if the owner has a limit and the request holds none
// that may still be used.
func (p *proxiedRequest) admit(ctx context.Context) *refusal {
	if !p.limited() || p.held && p.engine.cfg.Limiter.Valid(p.limit.Token) {
		return nil
	}
	p.limit, p.limitOf = p.engine.cfg.Limiter.Take(ctx, p.owner, p.late()), p.owner
	p.held = p.limit.Outcome == kqtokens.Granted
	wait := max(p.limit.RetryAfter, time.Millisecond)
	switch {
	case p.held:
		return nil
	case p.limit.Outcome == kqtokens.Refused:
		return &refusal{http.StatusTooManyRequests, causeLimit, wait}
	case ctx.Err() != nil:
		return &refusal{http.StatusServiceUnavailable, causeLimitGaveUp, wait}
	default:
		return &refusal{http.StatusServiceUnavailable, causeNoLimiter, wait}
	}
}

// late reports whether the request was tried before and its answer can no longer be in time.
func (p *proxiedRequest) late() bool {
	now := p.engine.cfg.Clock.Now()
	if p.route.Objective <= 0 || !p.firstTry.Before(p.started) {
		return false
	}
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	startBy, _ := p.waitLimits(now)
	return now.After(startBy)
}

// readmit is admit for a request that may have waited for the target longer than its token may
// be used. Without a token it uncounts the send.
func (p *proxiedRequest) readmit(ctx context.Context, t *kqselection.Target) *refusal {
	r := p.admit(ctx)
	if r != nil {
		p.engine.uncountSend(t)
	}
	return r
}

// useToken reports whether the request may be sent now, and marks its token as used.
func (p *proxiedRequest) useToken() bool {
	if !p.limited() {
		return true
	}
	if !p.held || !p.engine.cfg.Limiter.Valid(p.limit.Token) {
		return false
	}
	p.held = false
	return true
}

// keepToken takes back the token of a send that no target ran, for the next send.
func (p *proxiedRequest) keepToken() {
	p.held = p.limit.Outcome == kqtokens.Granted
}

// returnToken gives back a token that was not used.
func (p *proxiedRequest) returnToken() {
	if p.held {
		p.held = false
		p.engine.cfg.Limiter.Return(p.limitOf, p.limit.Token)
	}
}

// logLimit adds the decision on the owner's limit to a log line.
func (p *proxiedRequest) logLimit(l *log.Entry) {
	switch p.limit.Outcome {
	case kqtokens.Granted:
		l.Str("limit", "granted").Str("by", p.limit.Token.By)
	case kqtokens.Refused:
		l.Str("limit", "refused").Str("turn", strconv.FormatFloat(p.limit.RetryAfter.Seconds(), 'f', 3, 64))
	case kqtokens.Unanswered:
		l.Str("limit", "unanswered")
	}
}
