package kqproxy

import (
	"context"
	"time"

	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/route/kqselection"

	"github.com/cockroachdb/errors"
)

// errHung is the cause of the end of a send that its target does not have any more.
var errHung = errors.New("the target has lost the request")

// watchedSend is a send that is checked with probes while it has no answer.
type watchedSend struct {
	*kqselection.Send
	timer     *time.Timer // of the next probe
	tookRetry bool        // the retry of a lost send is already taken from the budget
	probes    int
	target    *kqselection.Target
	end       context.CancelCauseFunc // ends the send with the cause
}

// watchSend checks the send, once it is complete, with probes on other connections. It
// returns the context of the send, which ends with errHung if the send is lost and can be
// repeated.
func (p *proxiedRequest) watchSend(ctx context.Context, t *kqselection.Target, req *kqtransport.Request) (context.Context, func()) {
	e := p.engine
	ctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	expected := time.Duration(p.chosen.Score * float64(p.expectedServiceTime()))
	s := &kqselection.Send{Expected: expected}
	s.OnLost = func() { p.recordLost(t, cancel) }
	p.watched = watchedSend{Send: s, target: t, end: cancel}
	t.BeginSend(s)
	e.mu.Unlock()
	switch before, hold := req.BeforeFirstByte, req.BeforeLastByte; {
	case req.BodyRest != nil: // when it is complete is not known
	case hold != nil:
		req.BeforeLastByte = func(ctx context.Context) {
			hold(ctx)
			p.sendComplete(t, s)
		}
	default:
		req.BeforeFirstByte = func() error {
			err := before()
			if err == nil {
				p.sendComplete(t, s)
			}
			return err
		}
	}
	return ctx, func() { cancel(nil) }
}

// sendComplete notes that the target gets the last byte now, and plans the first probe.
// Nothing can be learned of targets that never report their load. Services without an active
// admission, as in documents without owners, are not checked: the probes would be new to them.
func (p *proxiedRequest) sendComplete(t *kqselection.Target, s *kqselection.Send) {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if !t.Unanswered(s) || !e.chooser(p.service).Admission.Active {
		return
	}
	s.SentAt = e.cfg.Clock.Now()
	if t.LastLoad.At.IsZero() {
		return
	}
	p.watched.timer = time.AfterFunc(t.HungDelay(s), func() { p.probeForSend(t, s) })
}

// probeForSend probes the target of a send that has no answer, and plans the next probe.
// While the host shuts down nothing is checked: a missing answer is then no reason to end
// a request sooner.
func (p *proxiedRequest) probeForSend(t *kqselection.Target, s *kqselection.Send) {
	e := p.engine
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	pending := t.Unanswered(s) && !e.shutdown.Begun() && now.Before(p.deadline)
	allowed := pending && t.BarredToProbe(now) == kqselection.NotBarred && e.takeProbe(now)
	e.mu.Unlock()
	if !pending {
		return
	}
	if allowed {
		table := p.routing.table
		e.probe(context.Background(), t, table.Services[p.service].Health, e.maxConns(table, p.service), minProbeTimeout)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.Unanswered(s) {
		p.watched.probes++
		p.watched.timer.Reset(t.HungDelay(s))
	}
}

// recordSends compares a report with the sends to the target, and counts the oldest one as
// lost if the target does not have it; e.mu must be held.
func (e *Engine) recordSends(t *kqselection.Target, sample kqselection.Sample, probedAt, now time.Time) {
	if e.shutdown.Begun() || t.BarredToProbe(now) != kqselection.NotBarred {
		return
	}
	if lost := t.RecordSends(sample.Running+sample.Waiting, probedAt, now); lost != nil {
		lost.OnLost()
	}
}

// recordLost notes that the target does not have the request any more, and ends the send if
// another target may get the request; e.mu must be held.
func (p *proxiedRequest) recordLost(t *kqselection.Target, cancel context.CancelCauseFunc) {
	e, s := p.engine, p.watched.Send
	now := e.cfg.Clock.Now()
	e.metrics.hung.Inc(1)
	repeat := p.route.Kind.Repeatable() && p.bodyRest == nil && p.sends+1 < p.route.Attempts && p.deadline.Sub(now) > s.Expected &&
		e.retryBudget(p.service).Take(now, e.cfg.Hosts())
	e.cfg.Log.Warn().Str("id", p.id).Str("target", t.ID).Str("addr", t.Addr).Dur("sent", now.Sub(s.SentAt)).Dur("expected", s.Expected).
		Int("running", t.LastLoad.Running).Int("waiting", t.LastLoad.Waiting).Int("inflight", t.InFlight).Int("probes", p.watched.probes).
		Bool("repeat", repeat).Msg("send: hung, the target has lost it")
	if repeat {
		p.watched.tookRetry = true
		cancel(errHung)
	}
}

// recordAnswered notes that the send has ended: its answer has begun, or none will come. A
// service whose target answered probes, but not the request, hangs.
func (p *proxiedRequest) recordAnswered(t *kqselection.Target, reply *kqtransport.Reply, err error) {
	e, s := p.engine, p.watched.Send
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.watched.timer != nil {
		p.watched.timer.Stop()
	}
	hangs := &e.chooser(p.service).Hangs
	switch {
	case err == nil && s.Lost:
		hangs.RecordLateAnswer(now)
		reply.DoNotReuse()
		e.cfg.Log.Warn().Str("id", p.id).Str("target", t.ID).Dur("sent", now.Sub(s.SentAt)).Msg("send: answered although it counted as lost")
	case err != nil && !s.Lost && !now.Before(p.deadline):
		hangs.RecordTimeout(s, t.LastLoad.At, now)
	}
	t.Answered(s)
}

// errStopEnds is the cause of the end of a send that has no answer at the end of a shutdown.
var errStopEnds = errors.New("no answer before the end of the shutdown")

// FailUnanswered ends the requests that have no answer, shortly before the end of a shutdown:
// their callers get an error, and not a connection that ends without a response. It leaves out
// services whose targets answer whatever they got, as far as the document tells.
func (e *Engine) FailUnanswered() {
	e.runningMu.Lock()
	defer e.runningMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for p := range e.running {
		if w := &p.watched; w.target != nil && w.target.Unanswered(w.Send) && e.chooser(p.service).Admission.Active {
			w.end(errStopEnds)
		}
	}
}
