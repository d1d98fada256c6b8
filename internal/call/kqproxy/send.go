package kqproxy

import (
	"context"
	"net/http"
	"time"

	"kumquatglade/internal/route/kqselection"
)

const (
	maxUnreachable = 3                    // number of unreachable targets after which a request is given up
	minTimeLeft    = 5 * time.Millisecond // below this a send is pointless: a few round trips between failure domains
)

// outcome is the result of a send that gave no response for the caller.
type outcome struct {
	mayHaveRun bool // the target may have executed the request or may still do so
	unsent     bool // no byte reached the target
	cause      string
	elapsed    time.Duration
}

// causeShutdown says why a request is refused that this host might not answer before it is
// gone.
const causeShutdown = "the host is shutting down"

// send sends the request to one target after another until one gives a response, as
// far as the route, the retry budget and the deadline allow.
func (p *proxiedRequest) send(ctx context.Context) {
	var tried []*kqselection.Target
	mayHaveRun, unreachable := false, 0
	var refused *refusal // by the owner's limit
	last := outcome{cause: "no target"}
	for {
		if p.withdrawn() {
			last.cause = causeKeyWithdrawn
			break
		}
		if p.sends > 0 && !p.beginRetry(mayHaveRun) {
			break
		}
		if time.Until(p.deadline) < minTimeLeft || ctx.Err() != nil {
			break
		}
		if !p.engine.shutdown.Takes(p.deadline) {
			last.cause = causeShutdown
			break
		}
		var cause string
		if cause, refused = p.chooseAdmitted(ctx, tried); refused != nil {
			break
		}
		t := p.chosen.Target
		if t == nil {
			if p.sends == 0 && unreachable == 0 || cause == causeQuiet || cause == causeEvacuated || cause == causeNoRegion {
				last.cause = cause
			}
			break
		}
		if refused = p.readmit(ctx, t); refused != nil {
			break
		}
		tried = append(tried, t)
		res, answered := p.attempt(ctx, t)
		if answered {
			return
		}
		last = res
		if !res.mayHaveRun {
			p.caller.takeBack()
			p.keepToken()
		}
		if res.unsent && p.newOwner(p.engine.routing.Load().table) != nil {
			tried = tried[:len(tried)-1] // the target may get the request of its new owner
			continue
		}
		if res.unsent {
			if unreachable++; unreachable >= maxUnreachable {
				break
			}
			continue
		}
		p.sends++
		mayHaveRun = mayHaveRun || res.mayHaveRun
	}
	if refused != nil && p.sends == 0 && !p.caller.gaveUp() {
		p.refuse(refused.status, refused.cause, refused.retryAfter)
		return
	}
	p.giveUp(ctx, mayHaveRun, last)
}

// chooseAdmitted takes a token of the owner's limit and chooses a target, again if the key moves
// to another owner while the request waits. Without a target it returns why there is none.
func (p *proxiedRequest) chooseAdmitted(ctx context.Context, tried []*kqselection.Target) (cause string, refused *refusal) {
	for {
		p.followKey()
		if refused = p.admit(ctx); refused != nil {
			return "", refused
		}
		if p.chosen, cause = p.choose(ctx, tried); cause != causeKeyMoved {
			return cause, nil
		}
	}
}

// beginRetry reports whether another send is allowed, and takes it from the retry
// budget.
func (p *proxiedRequest) beginRetry(mayHaveRun bool) bool {
	if mayHaveRun && !p.route.Kind.Repeatable() || p.bodyRest != nil {
		return false
	}
	if p.sends >= max(p.route.Attempts, 1) || !p.watched.tookRetry && !p.engine.takeRetry(p.service) {
		return false
	}
	p.engine.metrics.retries.Inc(1)
	return true
}

// giveUp writes an error response when no target gave a response.
func (p *proxiedRequest) giveUp(ctx context.Context, mayHaveRun bool, last outcome) {
	if p.caller.gaveUp() || wasReset(p.in.Context()) {
		p.answerClosed(mayHaveRun, last.cause)
		return
	}
	if !mayHaveRun && p.withdrawn() {
		r := p.refuseKey(causeKeyWithdrawn)
		p.refuse(r.status, r.cause, r.retryAfter)
		return
	}
	timedOut := ctx.Err() != nil || time.Until(p.deadline) < minTimeLeft
	if !mayHaveRun && last.cause == causeEvacuated {
		p.engine.metrics.evacuated.Inc(1)
	}
	switch {
	case !mayHaveRun:
		elsewhere := last.cause == causeShutdown || last.cause == causeColdElsewhere
		p.refuse(http.StatusServiceUnavailable, last.cause, p.retryAfter(p.sends > 0 || elsewhere))
	case timedOut:
		p.fail(http.StatusGatewayTimeout, last.cause)
	default:
		p.fail(http.StatusBadGateway, last.cause)
	}
}
