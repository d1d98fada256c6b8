package kqproxy

import (
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/route/kqselection"
)

// instanceKey identifies one start of the target: connections to an earlier start carry no
// requests to a later one.
func instanceKey(t *kqselection.Target) string { return t.ID + "|" + strconv.FormatInt(t.Boot, 10) }

// isForeign reports whether the response answers an earlier request or probe of the
// connection, as a copy of a response does that a target sends late. A target repeats the
// ID of a request in every response to it. A refusal without one, after a probe that was
// refused, is therefore taken for a copy of that refusal, and the request may be running.
// What the response says about the target still holds.
func (p *proxiedRequest) isForeign(t *kqselection.Target, earlier kqtransport.Exchanges, status int, h http.Header) bool {
	e, names := p.engine, p.engine.cfg.HeaderNames
	id := h.Get(names.RequestID)
	answersRequest := earlier.Requests > 0 && id != "" && id != p.id
	copiesRefusal := earlier.RefusedProbes > 0 && h.Get(names.NotExecuted) != ""
	answersProbe := earlier.Probes > 0 && id == "" && (h.Get(names.Instance) != "" || copiesRefusal)
	if !answersRequest && !answersProbe {
		return false
	}
	e.recordForeign(t, status, h, p.id)
	return true
}

// isOwn reports whether the response answers this request. A refusal without an ID is
// taken as the answer only if the connection carried no other request: otherwise it may be
// a copy of an earlier refusal, and this request may be running.
func (p *proxiedRequest) isOwn(reply *kqtransport.Reply) bool {
	names := p.engine.cfg.HeaderNames
	if reply.Header.Get(names.RequestID) == p.id {
		return true
	}
	refused := reply.Status == http.StatusMisdirectedRequest || reply.Header.Get(names.NotExecuted) != ""
	return reply.Header.Get(names.RequestID) == "" && refused && reply.Earlier.Requests == 0
}

// isForeignToProbe reports whether the response answers a request and not a probe, which
// carries no request ID.
func (e *Engine) isForeignToProbe(t *kqselection.Target, earlier kqtransport.Exchanges, status int, h http.Header) bool {
	if earlier.Requests == 0 || h.Get(e.cfg.HeaderNames.RequestID) == "" {
		return false
	}
	e.recordForeign(t, status, h, "")
	return true
}

// recordForeign counts and logs a response to another request, and records what it says
// about the target.
func (e *Engine) recordForeign(t *kqselection.Target, status int, h http.Header, id string) {
	e.metrics.foreign.Inc(1)
	e.recordTerms(t, status, h)
	if l := e.cfg.Log.Warn(); l != nil {
		l.Str("id", id).Str("target", t.ID).Str("addr", t.Addr).Int("status", status).
			Str("answers", h.Get(e.cfg.HeaderNames.RequestID)).Msg("send: response to another request skipped")
	}
}

// recordTerms records what a response says about the target's further requests: that it
// is shutting down, or that it wants none for a time. A misdirected request was answered
// by another target.
func (e *Engine) recordTerms(t *kqselection.Target, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	now := e.cfg.Clock.Now()
	if v := h.Get(e.cfg.HeaderNames.Leaving); v != "" && v != "0" {
		e.recordLeaving(t, now)
	}
	if field := h.Get("Retry-After"); status == http.StatusServiceUnavailable && field != "" {
		e.recordQuiet(t, field, now)
	}
}

func (e *Engine) recordLeaving(t *kqselection.Target, now time.Time) {
	e.mu.Lock()
	isNew, inFlight := t.RecordLeaving(now), t.InFlight
	e.mu.Unlock()
	if !isNew {
		return
	}
	e.metrics.leaving.Inc(1)
	e.cfg.Log.Info().Str("target", t.ID).Str("addr", t.Addr).Int64("boot", t.Boot).Int("inflight", inFlight).
		Msg("routes: target says that it is shutting down")
}

func (e *Engine) recordQuiet(t *kqselection.Target, field string, now time.Time) {
	d, ok := parseRetryAfter(field)
	if !ok {
		e.metrics.oddQuiet.Inc(1)
		e.cfg.Log.Warn().Str("target", t.ID).Str("addr", t.Addr).Str("asked", bounded(field)).Msg("routes: target asks for quiet, time not understood")
		return
	}
	e.mu.Lock()
	t.RecordQuiet(now, d)
	e.mu.Unlock()
	e.metrics.quiet.Inc(1)
	e.cfg.Log.Info().Str("target", t.ID).Str("addr", t.Addr).Int64("boot", t.Boot).Dur("for", d).Msg("routes: target asks for quiet")
}

// maxLoggedField bounds the bytes of a header field in a log line.
const maxLoggedField = 64

func bounded(field string) string { return field[:min(len(field), maxLoggedField)] }

// maxRetryAfter is where longer times are cut, so that they can be added to a time.
const maxRetryAfter = 365 * 24 * time.Hour

// parseRetryAfter parses a time in seconds, which may have a fraction.
func parseRetryAfter(field string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(field, 64)
	if err != nil || !(seconds >= 0) { // also refuses NaN
		return 0, false
	}
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
