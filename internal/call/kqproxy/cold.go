package kqproxy

import (
	"context"
	"strconv"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// Entries is the list of the entry hosts that accept requests, as this host was last told.
type Entries struct {
	Self    string // calls address of this host
	List    []kqfeed.EntryListener
	HeardAt time.Time // last confirmation by a control host
}

// coldTargets limits what this host sends to cold targets. The engine's mutex guards it.
type coldTargets struct {
	entries   *kqselection.EntryList // nil until a service has a cold rate
	applied   []kqfeed.EntryListener // from which entries was made
	paces     map[string]kqselection.ColdPace
	verifying bool                    // verifyCold is running
	verify    kqselection.TokenBucket // probes of verifyCold
}

// Causes of refusals while all targets of a service are cold: after a wait for a token, and at
// once, as this host gets none in time. Other hosts may have tokens in the second case, so
// that the caller may come back almost at once.
const (
	causeCold          = "all targets are cold"
	causeColdElsewhere = "all targets are cold, and this host may send to none of them in time"
)

// Sources of what is known of the cold time of a target, in log lines.
const (
	sourceAnnouncement = "announcement"
	sourceProbe        = "probe"
	sourceTime         = "time"
	sourceAssumption   = "assumption"
)

const (
	// maxProbedCold is the longest cold time that the answer to a probe can name, as for
	// announcements.
	maxProbedCold = time.Hour

	// verifyColdInterval is the time between two rounds of probes of targets that are assumed
	// to be cold, and verifyColdProbes the number of probes in one. verifyColdShare is the
	// share of the allowed probes of such a target that all hosts together use for it: the
	// others are for requests.
	verifyColdInterval = 100 * time.Millisecond
	verifyColdProbes   = 4
	verifyColdShare    = 0.3
)

// setColdServices takes over the cold rates of the document. e.mu must be held.
func (e *Engine) setColdServices(doc *kqroutes.Document, now time.Time) {
	c := &e.cold
	c.paces = nil
	for _, s := range doc.Services {
		if s.ColdRate <= 0 {
			continue
		}
		if c.paces == nil {
			c.paces = map[string]kqselection.ColdPace{}
		}
		c.paces[s.Name] = e.cfg.Limits.Cold.Pace(s.ColdRate)
	}
	if c.paces != nil && c.entries == nil {
		c.entries = kqselection.NewEntryList(e.entryHosts(now).Self)
	}
	e.refreshEntries(now)
}

// entryHosts returns the list of entry hosts, with this one alone if there is no other.
func (e *Engine) entryHosts(now time.Time) Entries {
	if e.cfg.Entries == nil {
		return Entries{Self: e.cfg.Host, List: []kqfeed.EntryListener{{Addr: e.cfg.Host}}, HeardAt: now}
	}
	return e.cfg.Entries()
}

// refreshEntries brings the list of entry hosts up to date, and this host's rights to send to
// cold targets. e.mu must be held.
func (e *Engine) refreshEntries(now time.Time) {
	c := &e.cold
	if len(c.paces) == 0 {
		return
	}
	hosts := e.entryHosts(now)
	c.entries.HeardAt = hosts.HeardAt
	if same := len(hosts.List) == len(c.applied) && (len(c.applied) == 0 || &hosts.List[0] == &c.applied[0]); same {
		return // the list is never changed in place
	}
	c.applied = hosts.List
	addrs := make([]string, len(hosts.List))
	for i, l := range hosts.List {
		addrs[i] = l.Addr
	}
	if !c.entries.Set(addrs, now) {
		return
	}
	for _, t := range e.knownTargets {
		t.UpdateSharer()
	}
}

// applyCold applies the cold rate of the target's service and what the target announced. e.mu
// must be held.
func (e *Engine) applyCold(k *kqselection.Target, t *kqtargets.Target, now time.Time) {
	pace, ok := e.cold.paces[t.Service]
	if !ok {
		k.LimitCold(nil, kqselection.ColdPace{}, now)
		return
	}
	k.LimitCold(e.cold.entries, pace, now)
	if t.ColdRemaining > 0 && k.RecordAnnouncedCold(now, t.ColdFrom(), t.ColdRemaining) {
		e.logTurned(k, sourceAnnouncement, now)
	}
}

// recordProbedCold records the cold field of the answer to a probe. Without the field the
// target is not cold. e.mu must be held.
func (e *Engine) recordProbedCold(t *kqselection.Target, field string, sentAt, now time.Time) {
	if len(e.cold.paces) == 0 {
		return
	}
	var until time.Time
	if field != "" {
		ms, err := strconv.ParseInt(field, 10, 64)
		if err != nil || ms < 0 {
			e.metrics.oddCold.Inc(1)
			e.cfg.Log.Warn().Str("target", t.ID).Str("addr", t.Addr).Str("cold", bounded(field)).Msg("cold: time in the answer to a probe not understood")
			return
		}
		if ms > 0 {
			until = now.Add(time.Duration(min(ms, maxProbedCold.Milliseconds())) * time.Millisecond)
		}
	}
	if t.RecordProbedCold(now, sentAt, until) {
		e.logTurned(t, sourceProbe, now)
	}
}

// logTurned logs and counts that a target turned cold or warm. e.mu must be held.
func (e *Engine) logTurned(t *kqselection.Target, source string, now time.Time) {
	l := e.cfg.Log.Info().Str("target", t.ID).Str("addr", t.Addr).Int64("boot", t.Boot).Str("source", source)
	if !t.IsCold(now) {
		e.metrics.turnedWarm.Inc(1)
		l.Msg("cold: target is warm")
		return
	}
	e.metrics.turnedCold.Inc(1)
	if !t.AssumedCold() {
		l.Dur("for", t.ColdUntil.Sub(now))
	}
	l.Bool("sharer", t.SharesCold()).Msg("cold: target is cold")
}

// sweepCold logs targets whose cold time has passed, and follows the list of entry hosts
// while no request does.
func (e *Engine) sweepCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.cold.paces) == 0 {
		return
	}
	now := e.cfg.Clock.Now()
	e.refreshEntries(now)
	for _, t := range e.knownTargets {
		if t.HasWarmedUp(now) {
			e.logTurned(t, sourceTime, now)
		}
	}
}

// allCold reports whether all targets of the service that are allowed and were not tried are
// cold or barred, and at least one of them cold.
func (e *Engine) allCold(service string, tried []*kqselection.Target, allows func(*kqselection.Target) bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.cold.paces[service]; !ok {
		return false
	}
	return kqselection.AllCold(e.routing.Load().untried(service, tried, allows), now)
}

// coldForTooLong reports, and counts, whether all targets that are allowed and were not tried
// are barred, at least one of them as cold, and this host may send to none of them before the request must
// start.
func (p *proxiedRequest) coldForTooLong(tried []*kqselection.Target, allows func(*kqselection.Target) bool, now time.Time) bool {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.cold.paces[p.service]; !ok {
		return false
	}
	e.refreshEntries(now)
	end, ok := kqselection.ColdEnd(e.routing.Load().untried(p.service, tried, allows), now)
	if !ok {
		return false
	}
	if _, giveUpAt := p.waitLimits(now); !end.IsZero() && end.Before(giveUpAt) {
		return false
	}
	e.metrics.coldRefused.Inc(1)
	return true
}

// toleratesCold reports whether the request loses little on a cold target. e.mu must be held.
func (p *proxiedRequest) toleratesCold(now time.Time) bool {
	startBy, _ := p.waitLimits(now)
	return kqselection.ToleratesCold(now, startBy, p.expectedServiceTime())
}

// assumeCold makes the targets of a failure domain count as cold until an answer to a probe
// that was sent after since says otherwise, and probes them. It is for the end of an
// evacuation of the domain, at which all of them may be cold. e.mu must be held.
func (e *Engine) assumeCold(domain string, since time.Time) {
	now := e.cfg.Clock.Now()
	assumed := false
	for _, t := range e.knownTargets {
		if t.Domain != domain {
			continue
		}
		if t.AssumeCold(now, since) {
			e.logTurned(t, sourceAssumption, now)
		}
		assumed = assumed || t.AssumedCold()
	}
	if assumed && !e.cold.verifying {
		e.cold.verifying = true
		go e.verifyCold()
	}
}

// verifyCold probes the targets that are assumed to be cold, a few at a time, until none is
// left. Without it a host that has no right to send to a target would never probe it, and not
// learn that it is warm.
func (e *Engine) verifyCold() {
	tick := time.NewTicker(verifyColdInterval)
	defer tick.Stop()
	skip := 0 // targets that did not answer
	for {
		select {
		case <-e.done:
			return
		case <-tick.C:
		}
		state := e.routing.Load()
		plan, left := e.planVerification(state, skip)
		for service, probe := range plan {
			skip += len(probe) - len(e.probeAll(context.Background(), state.table, service, probe, 0))
		}
		if left == 0 && e.endVerification() {
			return
		}
	}
}

// planVerification returns the targets to probe now, by service, of those that are assumed to
// be cold, and how many these are. Of each service it leaves out the first ones to skip.
func (e *Engine) planVerification(state *routingState, skip int) (plan map[string][]*kqselection.Target, left int) {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	unverified := map[string][]*kqselection.Target{}
	for service, list := range state.targets {
		if u := kqselection.Unverified(list); len(u) > 0 {
			unverified[service] = u
			left += len(u)
		}
	}
	e.cold.verify.Refill(e.verifyRate(left), verifyColdProbes, now)
	plan = map[string][]*kqselection.Target{}
	for service, list := range unverified {
		for i := range min(verifyColdProbes, len(list)) {
			t := list[(skip+i)%len(list)]
			if t.BarredToProbe(now) != kqselection.NotBarred {
				continue
			}
			if !e.cold.verify.Take() || !e.takeProbe(now) {
				return plan, left
			}
			plan[service] = append(plan[service], t)
		}
	}
	return plan, left
}

// verifyRate returns how many probes per second this host uses to verify n targets.
func (e *Engine) verifyRate(n int) float64 {
	if e.cfg.Limits.ProbeRate <= 0 {
		return verifyColdProbes / verifyColdInterval.Seconds()
	}
	return verifyColdShare * e.cfg.Limits.ProbeRate * float64(n) / float64(max(e.cfg.Hosts(), 1))
}

// endVerification reports whether no target is assumed to be cold, and lets the next one that
// is start verifyCold again.
func (e *Engine) endVerification() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.routing.Load().targets {
		if len(kqselection.Unverified(list)) > 0 {
			return false
		}
	}
	e.cold.verifying = false
	return true
}
