package kqproxy

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/route/kqselection"
)

const (
	probeWait         = 12 * time.Millisecond // that a send waits for all answers: a few round trips between failure domains
	firstReplyDivisor = 8                     // parts of the objective, of which one is waited for the first answer: a slow target costs several
	holdProbeDivisor  = 4                     // parts of the objective, of which one is for a question behind a long body
	minProbeTimeout   = 60 * time.Millisecond // after which a question is given up and its connection closed, at the least
	probeSavingTime   = 10 * time.Second      // over which questions that were not asked are saved for a busy time
	probeRateShare    = 0.85                  // of the questions allowed: hosts may count fewer of each other than there are
)

// mayAsk takes one question from what this host may ask: its part of what all
// targets may be asked together; the lock is held.
func (e *Engine) takeProbe(now time.Time) bool {
	if e.cfg.Limits.ProbeRate <= 0 {
		return true
	}
	rate := probeRateShare * e.cfg.Limits.ProbeRate * float64(max(len(e.knownTargets), 1)) / float64(max(e.cfg.Hosts(), 1))
	e.probeAllowance.Refill(rate, rate*probeSavingTime.Seconds(), now)
	return e.probeAllowance.Take()
}

// look asks up to n of the targets that were not tried and returns those worth a
// send, and which of them told their load just now. Without any answer it waits
// until the first one, up to patience.
func (e *Engine) probeCandidates(ctx context.Context, s *routingState, service string, tried []*kqselection.Target, n int, patience time.Duration) (list []*kqselection.Target, f probeResult) {
	began := e.cfg.Clock.Now()
	var ask []*kqselection.Target
	e.mu.Lock()
	list, ask, f.fresh = e.chooser(service).PlanProbes(s.untried(service, tried), n, began, func() bool { return e.takeProbe(began) })
	e.mu.Unlock()
	f.probed = len(ask)
	for _, t := range e.probeAll(ctx, s, service, ask, patience) {
		f.fresh[t] = true
		f.answered++
	}
	if len(ask) > 0 {
		e.metrics.probeTime.Update(e.cfg.Clock.Now().Sub(began))
	}
	return list, f
}

// findings is what a look brought.
type probeResult struct {
	probed   int // targets that were asked
	answered int // that answered in time
	fresh    map[*kqselection.Target]bool
}

// ask questions the targets at once and returns those that answered in time; if
// none did, the first that does so within patience.
func (e *Engine) probeAll(ctx context.Context, s *routingState, service string, list []*kqselection.Target, patience time.Duration) []*kqselection.Target {
	if len(list) == 0 {
		return nil
	}
	path := s.table.Services[service].Health
	conns := e.maxConns(s, service)
	answers := make(chan *kqselection.Target, len(list))
	for _, t := range list {
		go func() {
			if e.probe(ctx, t, path, conns, max(minProbeTimeout, patience)) {
				answers <- t
				return
			}
			answers <- nil
		}()
	}
	wait := time.NewTimer(probeWait)
	defer wait.Stop()
	var told []*kqselection.Target
	late := false
	for left := len(list); left > 0 && !(late && len(told) > 0); {
		select {
		case t := <-answers:
			left--
			if t != nil {
				told = append(told, t)
			}
		case <-wait.C:
			if late || patience <= probeWait {
				return told
			}
			late = true
			wait.Reset(patience - probeWait)
		case <-ctx.Done():
			return told
		}
	}
	return told
}

// question asks one target; true says that it told its load and seems sound.
// It goes on when the request that needed it has left, for the next one.
func (e *Engine) probe(ctx context.Context, t *kqselection.Target, path string, conns int, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	e.metrics.probes.Inc(1)
	reply, err := e.pool.Send(ctx, kqtransport.Request{
		Method: http.MethodGet, URL: &url.URL{Path: path}, Host: t.Addr, Header: http.Header{}, Addr: t.Addr, MaxConns: conns,
	})
	now := e.cfg.Clock.Now()
	if err != nil {
		e.probeFailed(t, now, err)
		return false
	}
	defer reply.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(reply.Body, maxProbeBody)); err != nil {
		e.probeFailed(t, now, err)
		return false
	}
	sample, ok := parseLoad(reply.Header.Get(e.cfg.HeaderNames.Load), now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		t.RecordLoad(sample)
	}
	return ok && reply.Status == http.StatusOK
}

// hold lets the target wait for the end of a long body until it is not slow: what it
// said before the body was on its way no longer holds, and a request stays as slow
// as it began. The question follows the body over the link, so that its answer is as
// young as the body's arrival.
func (p *proxiedRequest) holdLastByte(ctx context.Context, t *kqselection.Target) {
	e := p.engine
	began := e.cfg.Clock.Now()
	path, conns := p.routing.table.Services[p.service].Health, e.maxConns(p.routing, p.service)
	limit := max(minProbeTimeout, p.route.Objective/holdProbeDivisor)
	var until time.Time
	for ctx.Err() == nil {
		e.mu.Lock()
		ask := e.takeProbe(e.cfg.Clock.Now())
		e.mu.Unlock()
		if !ask || !waitForProbe(ctx, func() bool { return e.probe(ctx, t, path, conns, limit) }) {
			break
		}
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		if until.IsZero() {
			latest, _ := p.waitLimits(now)
			until = kqselection.BodyHoldDeadline(now, latest)
		}
		pause := kqselection.BodyHoldDelay(t, now, until)
		e.mu.Unlock()
		if pause == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	p.heldFor.Store(int64(e.cfg.Clock.Now().Sub(began)))
}

// answered waits for a question until ctx ends; the question goes on.
func waitForProbe(ctx context.Context, question func() bool) bool {
	told := make(chan bool, 1)
	go func() { told <- question() }()
	select {
	case ok := <-told:
		return ok
	case <-ctx.Done():
		return false
	}
}

// askBytes bounds the answer to a question.
const maxProbeBody = 4 << 10

func (e *Engine) probeFailed(t *kqselection.Target, now time.Time, err error) {
	e.metrics.failedProbes.Inc(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	if isUnsent(err) && !isPoolExhausted(err) {
		t.RecordUnreachable(now)
	}
}

// parseLoad reads running, waiting, slots and, if it is there, the percentage of
// the usual time that work takes now.
func parseLoad(field string, now time.Time) (kqselection.Sample, bool) {
	parts := strings.Split(field, ",")
	if len(parts) < 3 {
		return kqselection.Sample{}, false
	}
	var n [4]int
	n[3] = 100
	for i, p := range parts[:min(len(parts), len(n))] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return kqselection.Sample{}, false
		}
		n[i] = v
	}
	return kqselection.Sample{Running: n[0], Waiting: n[1], Slots: n[2], Slowdown: float64(max(n[3], 1)) / 100, At: now}, true
}
