package kqproxy

import (
	"slices"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// scene is the routes and targets in force; its lists are never changed.
type routingState struct {
	revision uint64
	table    *kqroutes.Table
	targets  map[string][]*kqselection.Target // ready ones by service
}

// Enforce puts routes and targets in force. What is known of a target's
// behaviour stays with its boot.
func (e *Engine) Apply(revision uint64, doc *kqroutes.Document, targets []kqtargets.Target) {
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
		e.cfg.Log.Info().Uint64("revision", revision).Uint64("routes", doc.Version).Msg("routes: in force")
	}
	e.doc = doc
	known := map[string]*kqselection.Target{}
	for _, t := range targets {
		k := e.knownTargets[t.ID]
		if k == nil || k.Boot != t.Boot || k.Addr != t.Addr {
			k = &kqselection.Target{ID: t.ID, Boot: t.Boot, Addr: t.Addr, Domain: t.Domain, Slots: t.Slots}
			if t.Cold > 0 {
				k.ColdUntil = now.Add(t.Cold)
			}
		}
		k.Saturation = e.chooser(t.Service).Saturation
		known[t.ID] = k
		if t.State == kqtargets.Ready {
			next.targets[t.Service] = append(next.targets[t.Service], k)
		}
	}
	e.closeReplaced(known)
	e.knownTargets = known
	e.routing.Store(next)
}

// dropGone closes the idle connections to targets that left.
func (e *Engine) closeReplaced(known map[string]*kqselection.Target) {
	for id, old := range e.knownTargets {
		if k := known[id]; k != old {
			e.pool.CloseIdle(old.Addr)
		}
	}
}

// service returns the ready targets of the service that were not tried.
func (s *routingState) untried(name string, tried []*kqselection.Target) []*kqselection.Target {
	list := s.targets[name]
	if len(tried) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(t *kqselection.Target) bool { return slices.Contains(tried, t) })
}

// connections is how many connections to one target this host may have.
func (e *Engine) maxConns(s *routingState, service string) int {
	limit := s.table.Services[service].Connections
	if limit <= 0 {
		return defaultConnections
	}
	return max(minConnections, int(connectionShare*float64(limit))/max(e.cfg.Hosts(), 1))
}

const (
	defaultConnections = 16  // to one target whose limit is not known
	minConnections     = 2   // to one target: one to ask and one to send
	connectionShare    = 0.9 // of a target's limit that all hosts use together

	sweepInterval = time.Second // between two looks for idle connections
)
