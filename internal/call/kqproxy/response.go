package kqproxy

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"kumquatglade/internal/call/kqlistener"
	"kumquatglade/internal/route/kqselection"
)

// hopByHopFields are the header fields that concern a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// removeHopByHop removes the hop-by-hop fields and those named by Connection.
func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}

// forwardedHeader returns the header fields of the caller that the target gets.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	out.Del("Expect")
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // otherwise net/http sets its own
	}
	return out
}

const (
	maxRetryDelayWithRoom = 20 * time.Millisecond // for a caller that was refused although there was room
	minRetryDelay         = 60 * time.Millisecond // for other refused callers
	retrySpread           = 0.25                  // share of the remaining time over which retries of refused callers are spread
)

// retryAfter returns a random time after which a refused caller should retry, so
// that retries are spread over a part of the time the callers have left. A caller
// that only targets refused, while there was room, or for which there is room on another
// host, may retry almost at once; one that left room
// to more urgent requests when there may be some for it; one whose
// service asked for quiet is told when the first target is back.
func (p *proxiedRequest) retryAfter(hadRoom bool) time.Duration {
	left := time.Until(p.deadline)
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if quiet := time.Until(p.quietUntil); quiet > 0 {
		return quiet + time.Duration(p.engine.cfg.Rand.Float64()*retrySpread*float64(max(left-quiet, minRetryDelay)))
	}
	if hadRoom {
		return time.Duration(p.engine.cfg.Rand.Float64() * float64(maxRetryDelayWithRoom))
	}
	now := p.engine.cfg.Clock.Now()
	room := p.engine.chooser(p.service).ReturnDelay(p.priority, left, now)
	return minRetryDelay + room + time.Duration(p.engine.cfg.Rand.Float64()*retrySpread*float64(max(left, 0)))
}

// refuse responds to a request that was not executed and will not be. A retryAfter
// of 0 sends no Retry-After field.
func (p *proxiedRequest) refuse(status int, cause string, retryAfter time.Duration) {
	p.engine.metrics.refused.Inc(1)
	if retryAfter > 0 {
		p.setRetryAfter(retryAfter)
	}
	p.logOutcome("refused", status, cause)
	p.writeError(status, cause)
}

func (p *proxiedRequest) setRetryAfter(d time.Duration) {
	p.w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// fail responds to a request that may have been executed.
func (p *proxiedRequest) fail(status int, cause string) {
	p.engine.metrics.failed.Inc(1)
	p.logOutcome("failed", status, cause)
	p.writeError(status, cause)
}

// closeIfStopping makes the response close the caller's connection if the host shuts down,
// unless a further request has arrived there, which gets its response first. Behind a long
// response one may arrive while it is under way.
func (p *proxiedRequest) closeIfStopping(long bool) {
	ctx := p.in.Context()
	switch {
	case !p.engine.shutdown.Begun():
	case kqlistener.MoreArrived(ctx, p.bodyRest == nil):
	case long && kqlistener.KeepOpen(ctx):
	default:
		p.w.Header().Set("Connection", "close")
	}
}

// arrivedBodyTime is how long a request that is refused because the host shuts down waits
// for the rest of a body that is arriving: it was received and need only be read.
const arrivedBodyTime = 20 * time.Millisecond

// refuseForShutdown refuses a request whose body was not read. The response does not wait for
// a body that has not arrived, and then closes the connection.
func (p *proxiedRequest) refuseForShutdown() {
	if !p.discardArrivedBody() {
		p.w.Header().Set("Connection", "close")
		_ = http.NewResponseController(p.w).EnableFullDuplex() // not all writers support it
	}
	p.refuse(http.StatusServiceUnavailable, causeShutdown, p.retryAfter(true))
}

// discardArrivedBody reads the body if it has arrived with something behind it, and reports
// whether the connection stands at its end.
func (p *proxiedRequest) discardArrivedBody() bool {
	if p.in.Body == nil || p.in.Body == http.NoBody {
		return true
	}
	if p.in.Header.Get("Expect") != "" || !kqlistener.MoreArrived(p.in.Context(), true) {
		return false
	}
	rc := http.NewResponseController(p.w)
	_ = rc.SetReadDeadline(time.Now().Add(arrivedBodyTime)) // not all writers support it
	_, err := io.CopyN(io.Discard, p.in.Body, maxBufferedBody)
	_ = rc.SetReadDeadline(time.Time{}) // not all writers support it
	return err == io.EOF                //nolint:errorlint // io.CopyN returns io.EOF unwrapped
}

// writeError writes an error response of the proxy itself.
func (p *proxiedRequest) writeError(status int, cause string) {
	p.closeIfStopping(false)
	h := p.w.Header()
	if p.id != "" {
		h.Set(p.engine.cfg.HeaderNames.RequestID, p.id)
	}
	h.Set("Content-Type", "text/plain")
	body := cause + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	_, _ = p.w.Write([]byte(body)) // the caller may have disconnected
}

// logOutcome logs and counts how the request ended and why.
func (p *proxiedRequest) logOutcome(outcome string, status int, cause string) {
	p.recordUsage(outcome, status, cause)
	l := p.engine.cfg.Log.Info()
	if l == nil {
		return
	}
	now := p.engine.cfg.Clock.Now()
	l.Str("id", p.id).Str("outcome", outcome).Int("status", status).Dur("took", now.Sub(p.started)).Int("sends", p.sends)
	if p.routing != nil {
		l.Uint64("revision", p.routing.revision).Uint64("routes", p.routing.table.Version)
	}
	if p.owner != nil {
		l.Str("owner", p.owner.Name)
	}
	if p.route != nil {
		c := &p.chosen
		l.Str("route", p.route.Name).Str("service", p.service).Int64("left", p.deadline.Sub(now).Milliseconds()).
			Dur("waited", c.waited).Int("line", c.queueLen).Int("asked", c.probed).Int("told", c.answered).
			Dur("held", time.Duration(p.heldFor.Load()))
		c.admission.log(l, p.priority)
	}
	if p.route == nil {
		l.Str("host", bounded(p.in.Host)) // none is listed with it, or none of its prefixes matches
	}
	if t := p.chosen.Target; t != nil {
		s := p.chosen.Sample
		l.Str("target", t.ID).Int("running", s.Running).Int("waiting", s.Waiting).Float64("slow", s.Slowdown).Float64("score", p.chosen.Score)
		if !s.At.IsZero() {
			l.Dur("age", now.Sub(s.At))
		}
	}
	p.logLimit(l)
	if cause != "" {
		l.Str("cause", cause)
	}
	l.Msg("request: " + outcome)
}

// logBarred logs that nothing is sent to a target that was barred after it was chosen.
func (p *proxiedRequest) logBarred(t *kqselection.Target, reason kqselection.Barred, now, draining time.Time) {
	l := p.engine.cfg.Log.Warn()
	if l == nil {
		return
	}
	l.Str("id", p.id).Str("target", t.ID).Str("addr", t.Addr).Uint64("arrived", p.routing.revision).Uint64("revision", p.chosen.revision).
		Dur("chosen", now.Sub(p.chosen.at)).Dur("waited", p.chosen.waited).Dur("took", now.Sub(p.started)).Int("sends", p.sends)
	if !draining.IsZero() {
		l.Dur("draining", now.Sub(draining))
	}
	l.Msg("send: " + string(reason))
}

// logFailedSend logs a send that gave no response for the caller.
func (p *proxiedRequest) logFailedSend(t *kqselection.Target, out outcome, status int) {
	l := p.engine.cfg.Log.Info()
	if l == nil {
		return
	}
	l.Str("id", p.id).Str("target", t.ID).Str("addr", t.Addr).Int("status", status).Bool("mayrun", out.mayHaveRun).
		Bool("unsent", out.unsent).Dur("took", out.elapsed).Str("cause", out.cause).Msg("send: no answer")
}
