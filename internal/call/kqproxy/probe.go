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
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
)

const (
	probeWait         = 12 * time.Millisecond // wait for the answers to all probes: a few round trips between failure domains
	firstReplyDivisor = 8                     // the wait for a first answer is the objective divided by this: a slow target costs several such parts
	holdProbeDivisor  = 4                     // the timeout of a probe behind a long body is the objective divided by this
	minProbeTimeout   = 60 * time.Millisecond // least time after which a probe is given up and its connection closed
	probeSavingTime   = 10 * time.Second      // period over which unused probes are saved for a busy time
	probeRateShare    = 0.85                  // share of the allowed rate that is used: a host may know of fewer hosts than there are
)

// takeProbe takes one probe from this host's allowance, if there is one. The
// allowance is the host's share of the rate for all targets. e.mu must be held.
func (e *Engine) takeProbe(now time.Time) bool {
	if e.cfg.Limits.ProbeRate <= 0 {
		return true
	}
	e.refillProbes(now)
	return e.probeAllowance.Take()
}

// refillProbes adds the probes earned since the last call; e.mu must be held.
func (e *Engine) refillProbes(now time.Time) {
	if e.cfg.Limits.ProbeRate <= 0 {
		return
	}
	rate := probeRateShare * e.cfg.Limits.ProbeRate * float64(max(len(e.knownTargets), 1)) / float64(max(e.cfg.Hosts(), 1))
	e.probeAllowance.Refill(rate, rate*probeSavingTime.Seconds(), now)
}

// probeCandidates probes up to n of the targets that are ready now, allowed and not tried.
// It returns the targets worth a send, and which of them reported their load just now.
// If none answers within probeWait, it waits for the first answer, up to firstReplyWait
// in all.
func (e *Engine) probeCandidates(
	ctx context.Context, table *kqroutes.Table, service string, tried []*kqselection.Target, allows func(*kqselection.Target) bool,
	n int, firstReplyWait time.Duration,
) (list []*kqselection.Target, result probeResult) {
	started := e.cfg.Clock.Now()
	var toProbe []*kqselection.Target
	e.mu.Lock()
	e.refreshEntries(started)
	ch, untried := e.chooser(service), e.routing.Load().untried(service, tried, allows)
	if ch.Admission.Active {
		for _, t := range untried {
			t.Connected = e.pool.HasIdle(t.Addr, instanceKey(t))
		}
	}
	list, toProbe, result.fresh = ch.PlanProbes(untried, n, started, func() bool { return e.takeProbe(started) })
	e.mu.Unlock()
	result.probed = len(toProbe)
	for _, t := range e.probeAll(ctx, table, service, toProbe, firstReplyWait) {
		result.fresh[t] = true
		result.answered++
	}
	if len(toProbe) > 0 {
		e.metrics.probeTime.Update(e.cfg.Clock.Now().Sub(started))
	}
	return list, result
}

// probeResult is the result of probing a set of targets.
type probeResult struct {
	probed   int // number of targets that were probed
	answered int // number of them that answered in time
	fresh    map[*kqselection.Target]bool
}

// probeAll probes the targets concurrently and returns those that answered within
// probeWait; if none did, the first one that answers within firstReplyWait.
func (e *Engine) probeAll(ctx context.Context, table *kqroutes.Table, service string, list []*kqselection.Target, firstReplyWait time.Duration) []*kqselection.Target {
	if len(list) == 0 {
		return nil
	}
	path := table.Services[service].Health
	conns := e.maxConns(table, service)
	replies := make(chan *kqselection.Target, len(list))
	for _, t := range list {
		go func() {
			if e.probe(ctx, t, path, conns, max(minProbeTimeout, firstReplyWait)) {
				replies <- t
				return
			}
			replies <- nil
		}()
	}
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	var answered []*kqselection.Target
	extended := false
	for left := len(list); left > 0 && !(extended && len(answered) > 0); {
		select {
		case t := <-replies:
			left--
			if t != nil {
				answered = append(answered, t)
			}
		case <-timer.C:
			if extended || firstReplyWait <= probeWait {
				return answered
			}
			extended = true
			timer.Reset(firstReplyWait - probeWait)
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// probe asks one target for its load and reports whether the target reported it, in time
// to choose by it, and is healthy. It continues when the context ends, because the next request can use the
// result.
func (e *Engine) probe(ctx context.Context, t *kqselection.Target, path string, conns int, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	e.metrics.probes.Inc(1)
	var sentAt time.Time
	reply, err := e.pool.Send(ctx, kqtransport.Request{
		Method: http.MethodGet, URL: &url.URL{Path: path}, Host: t.Addr, Header: http.Header{}, Addr: t.Addr, Instance: instanceKey(t), MaxConns: conns,
		BeforeFirstByte: func() error { sentAt = e.cfg.Clock.Now(); return e.checkProbeBarred(t) },
		IsProbe:         true,
		IsForeign: func(earlier kqtransport.Exchanges, status int, header http.Header) bool {
			return e.isForeignToProbe(t, earlier, status, header)
		},
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
	if id := reply.Header.Get(e.cfg.HeaderNames.Instance); id != "" && id != t.ID {
		e.recordMismatch(t, id, now)
		return false
	}
	e.recordTerms(t, reply.Status, reply.Header)
	if reply.Header.Get(e.cfg.HeaderNames.RequestID) != "" {
		e.probeFailed(t, now, kqtransport.ErrForeign)
		return false
	}
	sample, ok := parseLoad(reply.Header.Get(e.cfg.HeaderNames.Load), now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if reply.Status == http.StatusOK {
		e.recordProbedCold(t, reply.Header.Get(e.cfg.HeaderNames.Cold), sentAt, now)
	}
	if ok {
		sample.At = now.Add(-e.probeDelay(t.Domain, now.Sub(sentAt)))
		t.RecordLoad(sample)
		e.recordSends(t, sample, sentAt, now)
	}
	return ok && reply.Status == http.StatusOK && t.Informed(now)
}

// probeDelay returns for how long the answer to a probe may have waited in the queues of
// links, given the time that it took: how much longer than the fastest one in the failure
// domain. The report is that much older than its arrival. e.mu must be held.
func (e *Engine) probeDelay(domain string, took time.Duration) time.Duration {
	shortest, ok := e.shortestProbes[domain]
	if !ok || took < shortest {
		e.shortestProbes[domain] = took
		return 0
	}
	return took - shortest
}

// holdLastByte delays the last byte of a long body until the target is not slow, a
// time limit passes, or no probe is allowed or answered. The load that the target
// reported before the body was sent is out of date when the body arrives, and a
// request that starts on a slow target stays slow. The probe is sent after the body
// over the same link, so that its answer tells the load at the body's arrival.
func (p *proxiedRequest) holdLastByte(ctx context.Context, t *kqselection.Target) {
	e := p.engine
	started := e.cfg.Clock.Now()
	path, conns := p.routing.table.Services[p.service].Health, e.maxConns(p.routing.table, p.service)
	limit := max(minProbeTimeout, p.route.Objective/holdProbeDivisor)
	var until time.Time
	for ctx.Err() == nil {
		e.mu.Lock()
		allowed := e.takeProbe(e.cfg.Clock.Now())
		e.mu.Unlock()
		if !allowed || !waitForProbe(ctx, func() bool { return e.probe(ctx, t, path, conns, limit) }) {
			break
		}
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		if until.IsZero() {
			latest, _ := p.waitLimits(now)
			until = kqselection.BodyHoldDeadline(now, latest)
		}
		pause := e.chooser(p.service).BodyHoldDelay(t, now, until, p.deadline)
		barred := t.BarredToProbe(now) != kqselection.NotBarred
		e.mu.Unlock()
		if pause == 0 || barred { // the target must not get its last byte any later
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	p.heldFor.Store(int64(e.cfg.Clock.Now().Sub(started)))
}

// waitForProbe runs the probe and returns its result, or false when ctx ends. The
// probe itself then continues.
func waitForProbe(ctx context.Context, probe func() bool) bool {
	done := make(chan bool, 1)
	go func() { done <- probe() }()
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// maxProbeBody is the number of bytes that are read of the body of a probe's answer.
const maxProbeBody = 4 << 10

// probeFailed records that a probe got no answer.
func (e *Engine) probeFailed(t *kqselection.Target, now time.Time, err error) {
	e.metrics.failedProbes.Inc(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	if isUnsent(err) && !isPoolExhausted(err) && !errors.Is(err, errBarred) {
		t.RecordUnreachable(now)
	}
}

// checkProbeBarred returns errBarred if the target must get no probe now.
func (e *Engine) checkProbeBarred(t *kqselection.Target) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := t.BarredToProbe(e.cfg.Clock.Now()); reason != kqselection.NotBarred {
		return errors.Wrap(errBarred, string(reason))
	}
	return nil
}

// recordMismatch records that another target than t answered a probe.
func (e *Engine) recordMismatch(t *kqselection.Target, id string, now time.Time) {
	e.mu.Lock()
	t.RecordMismatch(now)
	e.mu.Unlock()
	e.metrics.failedProbes.Inc(1)
	e.cfg.Log.Warn().Str("target", t.ID).Str("addr", t.Addr).Str("answers", bounded(id)).Msg("probe: another target answers at the address")
}

// parseLoad parses the load field of a target: running requests, waiting requests,
// slots and optionally the current service time as a percentage of the usual one,
// separated by commas.
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
