package kqproxy

import (
	"slices"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// routingState holds the current routes and targets. It is never modified after it is
// published.
type routingState struct {
	revision uint64
	table    *kqroutes.Table
	targets  map[string][]*kqselection.Target // ready targets by service name
}

// Apply replaces the current routes, targets and evacuations of failure domains. What was learned about a target is
// kept until the target restarts or changes its address. Apply does nothing if doc is
// nil.
func (e *Engine) Apply(revision uint64, doc *kqroutes.Document, targets []kqtargets.Target, evacuations []kqcontract.Evacuation) {
	if doc == nil {
		return
	}
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	next := &routingState{revision: revision, targets: map[string][]*kqselection.Target{}}
	if e.doc == doc {
		next.table = e.routing.Load().table
	} else {
		next.table = kqroutes.NewTable(doc)
		e.dropUsage(next.table)
		e.activateAdmission(doc)
		e.cfg.Log.Info().Uint64("revision", revision).Uint64("routes", doc.Version).Msg("routes: in force")
	}
	e.doc = doc
	ended := e.applyEvacuations(evacuations, targets, now)
	e.setColdServices(doc, now)
	targetsByID := map[string]*kqselection.Target{}
	for _, t := range targets {
		k := e.knownTargets[t.ID]
		if old := k; k == nil || k.Boot != t.Boot || k.Addr != t.Addr {
			k = &kqselection.Target{ID: t.ID, Boot: t.Boot, Addr: t.Addr, Domain: t.Domain, Slots: t.Slots, Rank: kqselection.Rank(e.cfg.Host, t.ID)}
			if t.ColdRemaining > 0 {
				k.ColdUntil = now.Add(t.ColdRemaining)
			}
			if old != nil && old.Boot == t.Boot {
				k.Succeed(old)
			} else if old != nil {
				k.SucceedRestarted(old)
			}
		}
		e.applyCold(k, &t, now)
		e.recordDraining(k, t.State != kqtargets.Ready, revision, now)
		e.recordEvacuation(k)
		ch := e.chooser(t.Service)
		k.Saturation, k.Hangs = ch.Saturation, &ch.Hangs
		targetsByID[t.ID] = k
		if t.State == kqtargets.Ready {
			next.targets[t.Service] = append(next.targets[t.Service], k)
		}
	}
	for _, list := range next.targets {
		kqselection.Prefer(list, e.cfg.Domain, kqselection.PreferredTargets)
	}
	e.retireReplaced(targetsByID, revision, now)
	e.knownTargets = targetsByID
	if e.routing.Swap(next) == nil {
		close(e.firstRoutes)
	}
	for _, domain := range ended {
		e.assumeCold(domain, e.evacuations[domain].end)
	}
	e.endQueued(next)
}

// recordDraining records and logs whether the target drains; e.mu must be held.
func (e *Engine) recordDraining(k *kqselection.Target, draining bool, revision uint64, now time.Time) {
	if draining == !k.DrainingSince.IsZero() {
		return
	}
	k.DrainingSince = time.Time{}
	if draining {
		k.DrainingSince = now
	}
	e.cfg.Log.Info().Str("target", k.ID).Str("addr", k.Addr).Int64("boot", k.Boot).Uint64("revision", revision).
		Int("inflight", k.InFlight).Bool("draining", draining).Msg("routes: target changed")
}

// retireReplaced closes the idle connections to targets that were removed or replaced;
// e.mu must be held.
func (e *Engine) retireReplaced(current map[string]*kqselection.Target, revision uint64, now time.Time) {
	for id, old := range e.knownTargets {
		if k := current[id]; k != old {
			e.recordDraining(old, true, revision, now)
			e.pool.CloseIdle(old.Addr, instanceKey(old))
		}
	}
}

// untried returns the ready targets of the service that are allowed and not in tried. A
// nil allows allows all.
func (s *routingState) untried(name string, tried []*kqselection.Target, allows func(*kqselection.Target) bool) []*kqselection.Target {
	list := s.targets[name]
	if len(tried) == 0 && allows == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(t *kqselection.Target) bool {
		return slices.Contains(tried, t) || allows != nil && !allows(t)
	})
}

// maxConns returns how many connections this host may open to one target of the
// service.
func (e *Engine) maxConns(table *kqroutes.Table, service string) int {
	limit := table.Services[service].Connections
	if limit <= 0 {
		return defaultConnections
	}
	return max(minConnections, int(connectionShare*float64(limit))/max(e.cfg.Hosts(), 1))
}

const (
	defaultConnections = 16  // to a target whose limit is unknown
	minConnections     = 2   // to one target: one for probes and one for requests
	connectionShare    = 0.9 // share of a target's limit that all hosts together use

	sweepInterval = time.Second // between two searches for expired idle connections
)
