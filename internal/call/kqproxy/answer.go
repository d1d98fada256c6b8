package kqproxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// hopFields concern one connection only.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// dropHop removes what concerns one connection only.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}

// passedOn returns the caller's header fields for the target.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	out.Del("Expect")
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // the writer would put its own
	}
	return out
}

const (
	maxRetryDelayWithRoom = 20 * time.Millisecond // within which a caller returns for whom there is room
	minRetryDelay         = 60 * time.Millisecond // before which a refused caller should not return
	retrySpread           = 0.25                  // of the time left over which returns are spread
)

// retryAfter spreads the return of refused callers over a part of the time that
// they have left. Who was refused by targets only, while there was room, may
// come back at once.
func (p *proxiedRequest) retryAfter(room bool) time.Duration {
	left := time.Until(p.deadline)
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if room {
		return time.Duration(p.engine.cfg.Rand.Float64() * float64(maxRetryDelayWithRoom))
	}
	return minRetryDelay + time.Duration(p.engine.cfg.Rand.Float64()*retrySpread*float64(max(left, 0)))
}

// refuse answers for a request that has not run and never will.
func (p *proxiedRequest) refuse(status int, word string, wait time.Duration) {
	p.engine.metrics.refused.Inc(1)
	if wait > 0 {
		p.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	p.logOutcome("refused", status, word)
	p.writeError(status, word)
}

// fail answers for a request of which nobody knows whether it ran.
func (p *proxiedRequest) fail(status int, word string) {
	p.engine.metrics.failed.Inc(1)
	p.logOutcome("failed", status, word)
	p.writeError(status, word)
}

// own writes an answer that is not a target's.
func (p *proxiedRequest) writeError(status int, word string) {
	h := p.w.Header()
	if p.id != "" {
		h.Set(p.engine.cfg.HeaderNames.RequestID, p.id)
	}
	h.Set("Content-Type", "text/plain")
	body := word + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	_, _ = p.w.Write([]byte(body)) // the caller may have gone
}

// note logs how the request ended and what decided it.
func (p *proxiedRequest) logOutcome(outcome string, status int, word string) {
	l := p.engine.cfg.Log.Info()
	if l == nil {
		return
	}
	now := p.engine.cfg.Clock.Now()
	l.Str("id", p.id).Str("outcome", outcome).Int("status", status).Dur("took", now.Sub(p.started)).Int("sends", p.sends)
	if p.routing != nil {
		l.Uint64("revision", p.routing.revision).Uint64("routes", p.routing.table.Version)
	}
	if p.route != nil {
		c := &p.chosen
		l.Str("route", p.route.Name).Str("service", p.service).Int64("left", p.deadline.Sub(now).Milliseconds()).
			Dur("waited", c.waited).Int("line", c.queueLen).Int("asked", c.probed).Int("told", c.answered).
			Dur("held", time.Duration(p.heldFor.Load()))
	}
	if t := p.chosen.Target; t != nil {
		s := p.chosen.Sample
		l.Str("target", t.ID).Int("running", s.Running).Int("waiting", s.Waiting).Float64("slow", s.Slowdown).Float64("score", p.chosen.Score)
		if !s.At.IsZero() {
			l.Dur("age", now.Sub(s.At))
		}
	}
	if word != "" {
		l.Str("cause", word)
	}
	l.Msg("request: " + outcome)
}

// noteSend logs a send that brought no answer for the caller.
func (p *proxiedRequest) logFailedSend(t *kqselection.Target, out outcome, status int) {
	l := p.engine.cfg.Log.Info()
	if l == nil {
		return
	}
	l.Str("id", p.id).Str("target", t.ID).Str("addr", t.Addr).Int("status", status).Bool("mayrun", out.mayHaveRun).
		Bool("unsent", out.unsent).Dur("took", out.elapsed).Str("cause", out.cause).Msg("send: no answer")
}
