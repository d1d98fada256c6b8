package kqtokens

import (
	"context"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// MethodTokens is the kind of request by which an entry host asks a control host for tokens.
const MethodTokens = "tokens"

type tokensRequest struct {
	Wants   []Want `json:"wants"`
	Version uint64 `json:"version,omitempty"` // of the sender's routes document
}

// tokensAnswer has the grants in the order of the wants. A host that may not grant any, as it
// is not a confirmed voter, says so.
type tokensAnswer struct {
	Voter   bool    `json:"voter"`
	Grants  []Grant `json:"grants"`
	Opinion Opinion `json:"opinion,omitempty"` // of the sender, if it is a control host
}

// AskerConfig constructs an Asker.
type AskerConfig struct {
	HostConfig
	Version func() uint64 // of the routes document in force on this host
	Link    kq.Link
	Clock   kq.Clock
	Log     *kqlog.Log
	Metrics metrics.Registry
}

// Asker runs a Host: it sends its messages and hands out its decisions. It is safe for
// concurrent use.
type Asker struct {
	cfg     AskerConfig
	metrics askerMetrics

	mu      sync.Mutex
	host    *Host
	lastID  uint64
	waiting map[uint64]chan Decision
	silent  map[string]bool // control hosts whose last answer had no grants
}

type askerMetrics struct {
	granted, refused, unanswered, spare, messages, silent metrics.Counter
	wait                                                  metrics.Timer // for the decision of a request
}

// NewAsker returns an Asker.
func NewAsker(cfg AskerConfig) *Asker {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("limits."+name, cfg.Metrics) }
	return &Asker{
		cfg: cfg, host: NewHost(cfg.HostConfig), waiting: map[uint64]chan Decision{}, silent: map[string]bool{},
		metrics: askerMetrics{
			granted: counter("granted"), refused: counter("refused"), unanswered: counter("unanswered"), spare: counter("spare"),
			messages: counter("messages"), silent: counter("silent"), wait: metrics.GetOrRegisterTimer("limits.wait", cfg.Metrics),
		},
	}
}

// Take returns the decision for one request of an owner with a limit; late says that its answer
// cannot be in time. If ctx ends before, the request is Unanswered.
func (a *Asker) Take(ctx context.Context, o *kqroutes.Owner, late bool) Decision {
	began := a.cfg.Clock.Now()
	decided := make(chan Decision, 1)
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	a.waiting[id] = decided
	if late {
		a.perform(a.host.TakeLate(o, id, began))
	} else {
		a.perform(a.host.Take(o, id, began))
	}
	a.mu.Unlock()
	var d Decision
	select {
	case d = <-decided:
	case <-ctx.Done():
		if d = a.cancel(o, id, decided); d.Outcome == Granted {
			a.Return(o, d.Token)
		}
		d = Decision{ID: id, Outcome: Unanswered}
	}
	a.count(d, a.cfg.Clock.Now().Sub(began))
	return d
}

// cancel withdraws a request, and returns its decision if there is one already.
func (a *Asker) cancel(o *kqroutes.Owner, id uint64, decided <-chan Decision) (d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	a.host.Cancel(o, id)
	select {
	case d = <-decided:
	default:
	}
	return d
}

func (a *Asker) count(d Decision, took time.Duration) {
	a.metrics.wait.Update(took)
	switch {
	case d.Outcome == Refused:
		a.metrics.refused.Inc(1)
	case d.Outcome == Unanswered:
		a.metrics.unanswered.Inc(1)
	case d.Token.By == "":
		a.metrics.spare.Inc(1)
	default:
		a.metrics.granted.Inc(1)
	}
}

// Return gives back a token whose request was not sent, or was not run.
func (a *Asker) Return(o *kqroutes.Owner, t Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.host.Return(o, t, a.cfg.Clock.Now()))
}

// Valid reports whether the token may still be used.
func (a *Asker) Valid(t Token) bool { return a.cfg.Valid(t, a.cfg.Clock.Now()) }

// perform carries out the effects; the lock is held.
func (a *Asker) perform(e Effects) {
	for _, d := range e.Decisions {
		if decided, ok := a.waiting[d.ID]; ok {
			delete(a.waiting, d.ID)
			decided <- d
		}
	}
	for _, ask := range e.Asks {
		a.metrics.messages.Inc(1)
		go a.send(ask)
	}
}

func (a *Asker) send(ask Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), AnswerTimeout)
	defer cancel()
	slow := a.cfg.Clock.AfterFunc(slowAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.perform(a.host.Slow(ask.ID, a.cfg.Clock.Now()))
	})
	defer slow.Stop()
	var answer tokensAnswer
	err := a.cfg.Link.Call(ctx, ask.Voter, MethodTokens, tokensRequest{ask.Wants, a.cfg.Version()}, &answer)
	switch {
	case err != nil:
		answer.Grants = nil
	case !answer.Voter:
		err, answer.Grants = errors.New("not a confirmed voter"), nil
	case len(answer.Grants) != len(ask.Wants):
		err, answer.Grants = errors.Newf("%d grants for %d owners", len(answer.Grants), len(ask.Wants)), nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteSilent(ask.Voter, err)
	a.perform(a.host.Answered(ask.ID, answer.Grants, a.cfg.Clock.Now()))
}

// noteSilent counts answers without grants, and logs when a control host begins or ceases to
// give them; the lock is held.
func (a *Asker) noteSilent(voter string, err error) {
	if err != nil {
		a.metrics.silent.Inc(1)
	}
	if a.silent[voter] == (err != nil) {
		return
	}
	a.silent[voter] = err != nil
	if err != nil {
		a.cfg.Log.Warn().Str("voter", voter).Str("cause", err.Error()).Msg("limits: no tokens from the voter")
		return
	}
	a.cfg.Log.Info().Str("voter", voter).Msg("limits: the voter answers")
}
