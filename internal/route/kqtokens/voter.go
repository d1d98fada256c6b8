package kqtokens

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// refreshInterval is the time between two looks at the member list, which changes without
	// an entry of the state.
	refreshInterval = 250 * time.Millisecond

	// confirmAfter is the age of the last confirmation at which the voter asks for one itself:
	// the hub has no subscribers.
	confirmAfter   = time.Second
	confirmTimeout = 1500 * time.Millisecond // an election fits in
)

// Source is the replica of the control host.
type Source interface {
	Status() (kqcontrol.Status, error)
	View(f func(*kqcontract.State)) error
	Confirm(ctx context.Context) error
}

// VoterConfig constructs a Voter.
type VoterConfig struct {
	Params
	Source  Source
	Link    kq.Link
	Changed <-chan struct{} // receives after a change of the replicated state
	Clock   kq.Clock
	Log     *kqlog.Log
	Metrics metrics.Registry
}

// Voter answers requests for tokens on a control host. It is safe for concurrent use.
type Voter struct {
	cfg                       VoterConfig
	granted, refused, answers metrics.Counter
	stop                      context.CancelFunc
	ended                     chan struct{}

	observing sync.Mutex // held from reading the state until it is taken over, so that no older one follows

	mu       sync.Mutex
	failing  bool // as logged last
	standing *Standing
	buckets  *Buckets
	routes   *kqroutes.Proposal // whose owners the buckets have
	n        int
	grants   bool // as logged last
	limited  bool // an owner has a limit
}

// NewVoter returns a Voter and keeps it up to date until Close. It must be called before the
// replica receives its first message.
func NewVoter(cfg VoterConfig) (*Voter, error) {
	s, err := cfg.Source.Status()
	if err != nil {
		return nil, err
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("shares."+name, cfg.Metrics) }
	ctx, stop := context.WithCancel(context.Background())
	v := &Voter{
		cfg: cfg, buckets: NewBuckets(cfg.Params), standing: NewStanding(cfg.Params, s.Status, cfg.Clock.Now()),
		granted: counter("granted"), refused: counter("refused"), answers: counter("answers"), stop: stop, ended: make(chan struct{}),
	}
	go v.loop(ctx)
	return v, nil
}

// Close stops the voter.
func (v *Voter) Close() {
	v.stop()
	<-v.ended
}

func (v *Voter) loop(ctx context.Context) {
	defer close(v.ended)
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-v.cfg.Changed:
		}
		if v.observe(time.Time{}) {
			v.confirm(ctx)
		}
		v.askOthers(ctx)
	}
}

// askOthers asks the other voters for their opinions if this one waits for them.
func (v *Voter) askOthers(ctx context.Context) {
	v.mu.Lock()
	others := v.standing.Others(v.cfg.Link.Host(), v.cfg.Clock.Now())
	limited := v.limited
	v.mu.Unlock()
	if len(others) == 0 || !limited {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, AnswerTimeout)
	defer cancel()
	list := make([]Opinion, len(others))
	for i, h := range others {
		var answer tokensAnswer
		if v.cfg.Link.Call(ctx, h, MethodTokens, tokensRequest{}, &answer) != nil {
			return // the wait ends by itself
		}
		list[i] = answer.Opinion
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.standing.Hear(list, v.cfg.Clock.Now()) && v.routes != nil {
		v.buckets = NewBuckets(v.cfg.Params)
		v.buckets.Set(v.routes.Document.Version, v.routes.Document.Owners, v.n, v.cfg.Clock.Now())
	}
}

// confirm has a quorum confirm the state.
func (v *Voter) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	began := v.cfg.Clock.Now()
	if v.cfg.Source.Confirm(ctx) == nil { // else the voter ceases to grant tokens, which is logged
		v.Confirmed(began)
	}
}

// Confirmed tells the voter that a quorum confirmed the state of this host, by a confirmation
// that began at the given time.
func (v *Voter) Confirmed(began time.Time) { v.observe(began) }

// noteFailure logs when the state begins or ceases to be unreadable; the lock is held.
func (v *Voter) noteFailure(err error) {
	if v.failing == (err != nil) {
		return
	}
	v.failing = err != nil
	if err != nil {
		v.cfg.Log.Warn().Str("cause", err.Error()).Msg("limits: no state")
		return
	}
	v.cfg.Log.Info().Msg("limits: the state is readable again")
}

// observe takes over the routes and the members, which a quorum confirmed if confirmed is not
// zero. It reports whether there are limits and the last confirmation is old.
func (v *Voter) observe(confirmed time.Time) (unconfirmed bool) {
	v.observing.Lock()
	defer v.observing.Unlock()
	var routes *kqroutes.Proposal
	s, err := v.cfg.Source.Status()
	if err == nil {
		err = v.cfg.Source.View(func(s *kqcontract.State) { routes = s.Routes.Current })
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.noteFailure(err); err != nil {
		return false
	}
	now := v.cfg.Clock.Now()
	v.standing.Observe(s.Status, now)
	if n := v.standing.Voters(now); routes != nil && (routes != v.routes || n != v.n) {
		v.buckets.Set(routes.Document.Version, routes.Document.Owners, n, now)
		v.routes, v.n = routes, n
	}
	v.limited = routes != nil && slices.ContainsFunc(routes.Document.Owners, func(o kqroutes.Owner) bool { return o.Limited() })
	if !confirmed.IsZero() {
		v.standing.Confirmed(confirmed)
	}
	if grants := v.standing.Grants(now); v.limited && grants != v.grants {
		v.grants = grants
		v.cfg.Log.Info().Bool("grants", grants).Int("voters", v.n).Uint64("routes", routes.Document.Version).Msg("limits: voter")
	}
	return v.limited && age(now, v.standing.confirmedAt) > confirmAfter
}

// Handle answers a request for tokens.
func (v *Voter) Handle(peer string, body json.RawMessage) (any, error) {
	var req tokensRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrapf(err, "limits: request of %s", peer)
	}
	v.answers.Inc(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.cfg.Clock.Now()
	answer := tokensAnswer{Voter: v.standing.Grants(now), Opinion: v.standing.Opinion(peer, now)}
	if !answer.Voter {
		return answer, nil
	}
	newer := v.routes != nil && req.Version > v.routes.Document.Version
	for _, w := range req.Wants {
		if newer {
			v.buckets.Lower(req.Version, w, now)
		}
		g := v.buckets.Take(w, now)
		v.granted.Inc(int64(g.Count))
		v.refused.Inc(int64(max(w.Count-g.Count, 0)))
		answer.Grants = append(answer.Grants, g)
	}
	return answer, nil
}

// Uses returns what this voter granted each owner with a limit.
func (v *Voter) Uses() []Use {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.buckets.Uses(v.cfg.Clock.Now())
}
