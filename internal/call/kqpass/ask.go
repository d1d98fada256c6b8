package kqpass

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"kumquatglade/internal/call/kqforward"
	"kumquatglade/internal/route/kqselection"
)

const (
	askTime   = 12 * time.Millisecond // that a send waits for all answers: a few round trips between failure domains
	askShare  = 8                     // parts of the objective, of which one is waited for the first answer: a slow target costs several
	holdShare = 4                     // parts of the objective, of which one is for a question behind a long body
	askLimit  = 60 * time.Millisecond // after which a question is given up and its connection closed, at the least
	askSaved  = 10 * time.Second      // over which questions that were not asked are saved for a busy time
	askPart   = 0.85                  // of the questions allowed: hosts may count fewer of each other than there are
)

// mayAsk takes one question from what this host may ask: its part of what all
// targets may be asked together; the lock is held.
func (e *Engine) mayAsk(now time.Time) bool {
	if e.cfg.Limits.Questions <= 0 {
		return true
	}
	rate := askPart * e.cfg.Limits.Questions * float64(max(len(e.known), 1)) / float64(max(e.cfg.Hosts(), 1))
	e.asks.Refill(rate, rate*askSaved.Seconds(), now)
	return e.asks.Take()
}

// look asks up to n of the targets that were not tried and returns those worth a
// send, and which of them told their load just now. Without any answer it waits
// until the first one, up to patience.
func (e *Engine) look(ctx context.Context, s *scene, service string, tried []*kqselection.Target, n int, patience time.Duration) (list []*kqselection.Target, f findings) {
	began := e.cfg.Clock.Now()
	var ask []*kqselection.Target
	e.mu.Lock()
	list, ask, f.fresh = e.chooser(service).PlanProbes(s.service(service, tried), n, began, func() bool { return e.mayAsk(began) })
	e.mu.Unlock()
	f.asked = len(ask)
	for _, t := range e.ask(ctx, s, service, ask, patience) {
		f.fresh[t] = true
		f.told++
	}
	if len(ask) > 0 {
		e.counts.asking.Update(e.cfg.Clock.Now().Sub(began))
	}
	return list, f
}

// findings is what a look brought.
type findings struct {
	asked int // targets that were asked
	told  int // that answered in time
	fresh map[*kqselection.Target]bool
}

// ask questions the targets at once and returns those that answered in time; if
// none did, the first that does so within patience.
func (e *Engine) ask(ctx context.Context, s *scene, service string, list []*kqselection.Target, patience time.Duration) []*kqselection.Target {
	if len(list) == 0 {
		return nil
	}
	path := s.table.Services[service].Health
	conns := e.connections(s, service)
	answers := make(chan *kqselection.Target, len(list))
	for _, t := range list {
		go func() {
			if e.question(ctx, t, path, conns, max(askLimit, patience)) {
				answers <- t
				return
			}
			answers <- nil
		}()
	}
	wait := time.NewTimer(askTime)
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
			if late || patience <= askTime {
				return told
			}
			late = true
			wait.Reset(patience - askTime)
		case <-ctx.Done():
			return told
		}
	}
	return told
}

// question asks one target; true says that it told its load and seems sound.
// It goes on when the request that needed it has left, for the next one.
func (e *Engine) question(ctx context.Context, t *kqselection.Target, path string, conns int, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	e.counts.questions.Inc(1)
	reply, err := e.pool.Send(ctx, kqforward.Request{
		Method: http.MethodGet, URL: &url.URL{Path: path}, Host: t.Addr, Header: http.Header{}, Addr: t.Addr, Conns: conns,
	})
	now := e.cfg.Clock.Now()
	if err != nil {
		e.unanswered(t, now, err)
		return false
	}
	defer reply.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(reply.Body, askBytes)); err != nil {
		e.unanswered(t, now, err)
		return false
	}
	sample, ok := parseLoad(reply.Header.Get(e.cfg.Names.Load), now)
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
func (p *passage) hold(ctx context.Context, t *kqselection.Target) {
	e := p.engine
	began := e.cfg.Clock.Now()
	path, conns := p.scene.table.Services[p.service].Health, e.connections(p.scene, p.service)
	limit := max(askLimit, p.route.Objective/holdShare)
	var until time.Time
	for ctx.Err() == nil {
		e.mu.Lock()
		ask := e.mayAsk(e.cfg.Clock.Now())
		e.mu.Unlock()
		if !ask || !answered(ctx, func() bool { return e.question(ctx, t, path, conns, limit) }) {
			break
		}
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		if until.IsZero() {
			latest, _ := p.patience(now)
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
	p.held.Store(int64(e.cfg.Clock.Now().Sub(began)))
}

// answered waits for a question until ctx ends; the question goes on.
func answered(ctx context.Context, question func() bool) bool {
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
const askBytes = 4 << 10

func (e *Engine) unanswered(t *kqselection.Target, now time.Time, err error) {
	e.counts.unanswered.Inc(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	if unsent(err) && !full(err) {
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
