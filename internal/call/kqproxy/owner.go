package kqproxy

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxStateAge is the age of the last confirmation by a control host up to which a key is
	// refused. A new key is in force on all connected hosts within this time, so a host that
	// is behind does not refuse it.
	maxStateAge = 2 * time.Second

	// staleRetryAfter is when a caller comes back whose key this host could not refuse: a
	// search for another control host takes about as long.
	staleRetryAfter = 500 * time.Millisecond
)

// Causes of the refusal of a request for its key.
const (
	causeKeyMissing   = "no key"
	causeKeyMalformed = "malformed key"
	causeKeyUnknown   = "unknown key"
	causeKeyWithdrawn = "the key was withdrawn"
	causeKeyMoved     = "the key moved to another owner" // ends a wait or a send, and no request
	causeStateOld     = "the key is unknown here and the routes may be out of date"
)

// authorize finds the owner of the request by its key, if requests need one. The
// target gets the owner's name in place of the key.
func (p *proxiedRequest) authorize() *refusal {
	table, names := p.routing.table, &p.engine.cfg.HeaderNames
	if !table.NeedsKey() || p.route.Open {
		return nil
	}
	p.header.Del("Authorization")
	key, cause := parseKey(p.in.Header["Authorization"], names.KeyScheme)
	if cause != "" {
		return p.refuseKey(cause)
	}
	p.key = kqroutes.DigestKey(key)
	p.owner = table.OwnerByKey(p.key)
	if p.owner == nil {
		return p.refuseKey(causeKeyUnknown)
	}
	p.setOwner(p.owner)
	return nil
}

// setOwner makes the request one of the owner, with its priority.
func (p *proxiedRequest) setOwner(o *kqroutes.Owner) {
	p.owner, p.priority = o, p.route.Priority
	if o.Priority != nil {
		p.priority = *o.Priority
	}
	p.header.Set(p.engine.cfg.HeaderNames.Owner, o.Name)
}

// followKey makes the request one of the owner that has its key now, if the key moved. The token
// of the former owner's limit is given back.
func (p *proxiedRequest) followKey() {
	o := p.newOwner(p.engine.routing.Load().table)
	if o == nil {
		return
	}
	p.returnToken()
	p.limit, p.limitOf = kqtokens.Decision{}, nil
	p.engine.metrics.keyMoved.Inc(1)
	p.setOwner(o)
}

// parseKey returns the key in the values of Authorization, or the cause of the refusal.
func parseKey(values []string, scheme string) (key, cause string) {
	if len(values) == 0 {
		return "", causeKeyMissing
	}
	given, key, ok := strings.Cut(values[0], " ")
	ok = ok && strings.EqualFold(given, scheme) // schemes are case-insensitive
	if !ok || len(values) > 1 || key == "" || key[0] == ' ' || len(key) > kqroutes.MaxKey {
		return "", causeKeyMalformed
	}
	return key, ""
}

// refuseKey returns the refusal of a request for its key: 401, or 503 if this host may not
// know the newest keys.
func (p *proxiedRequest) refuseKey(cause string) *refusal {
	e := p.engine
	if age := e.cfg.StateAge; age != nil && age() > maxStateAge {
		e.metrics.key[causeStateOld].Inc(1)
		return &refusal{http.StatusServiceUnavailable, causeStateOld, staleRetryAfter}
	}
	e.metrics.key[cause].Inc(1)
	p.w.Header().Set("WWW-Authenticate", e.cfg.HeaderNames.KeyScheme)
	return &refusal{status: http.StatusUnauthorized, cause: cause}
}

// newKeyCounters returns the counters of refusals for a key by their cause.
func newKeyCounters(counter func(name string) metrics.Counter) map[string]metrics.Counter {
	return map[string]metrics.Counter{
		causeKeyMissing: counter("key.missing"), causeKeyMalformed: counter("key.malformed"), causeKeyUnknown: counter("key.unknown"),
		causeKeyWithdrawn: counter("key.withdrawn"), causeStateOld: counter("key.stale"),
	}
}

// keyChange returns the cause for which the request can't go on with its owner by the table,
// empty if it can: its key was withdrawn, or moved to another owner. A document in which requests
// need no key changes nothing.
func (p *proxiedRequest) keyChange(table *kqroutes.Table) string {
	switch {
	case p.owner == nil || table == p.routing.table || !table.NeedsKey():
		return ""
	case table.OwnerByKey(p.key) == nil:
		return causeKeyWithdrawn
	case p.newOwner(table) != nil:
		return causeKeyMoved
	}
	return ""
}

// newOwner returns the owner to which the request's key moved, nil if it did not.
func (p *proxiedRequest) newOwner(table *kqroutes.Table) *kqroutes.Owner {
	if p.owner == nil || !table.NeedsKey() {
		return nil
	}
	if o := table.OwnerByKey(p.key); o != nil && o.Name != p.owner.Name {
		return o
	}
	return nil
}

// withdrawn reports whether the request's key was withdrawn.
func (p *proxiedRequest) withdrawn() bool {
	return p.keyChange(p.engine.routing.Load().table) == causeKeyWithdrawn
}

// wrongRegion is why a request is not sent to a target.
const wrongRegion kqselection.Barred = "target is outside the allowed regions"

// causeNoRegion says why a request is refused whose route or owner allows no target.
const causeNoRegion = "no target in the allowed regions"

// regions returns the regions that the route and the owner allow now, empty for all.
func (p *proxiedRequest) regions() (ofRoute, ofOwner []string) {
	route, owner := p.route, p.owner
	if table := p.engine.routing.Load().table; table != p.routing.table {
		if r, ok := p.findRoute(table); ok {
			route = r
		}
		if owner != nil {
			if o := table.Owner(owner.Name); o != nil {
				owner = o
			}
		}
	}
	if owner != nil {
		ofOwner = owner.Regions
	}
	return route.Regions, ofOwner
}

// allows returns a function that reports whether the request may be sent to a target, nil
// if it may be sent to all.
func (p *proxiedRequest) allows() func(*kqselection.Target) bool {
	ofRoute, ofOwner := p.regions()
	if len(ofRoute)+len(ofOwner) == 0 {
		return nil
	}
	domains := p.engine.cfg.Domains
	return func(t *kqselection.Target) bool {
		region := domains[t.Domain]
		return (len(ofRoute) == 0 || slices.Contains(ofRoute, region)) && (len(ofOwner) == 0 || slices.Contains(ofOwner, region))
	}
}

// without returns a function that reports whether a target is allowed and not wanted by the
// queued requests. A nil allows allows all, and a nil wanted wants none.
func without(allows, wanted func(*kqselection.Target) bool) func(*kqselection.Target) bool {
	if wanted == nil {
		return allows
	}
	return func(t *kqselection.Target) bool { return (allows == nil || allows(t)) && !wanted(t) }
}

// queuedRequest is a request in a queue that a new document may end.
type queuedRequest struct {
	chooser *chooser
	waiter  *kqselection.Waiter
	ended   chan string // receives the cause
}

// endQueued ends the wait of queued requests whose key was withdrawn or moved or that may be sent
// to no target of the new routing state; e.mu must be held.
func (e *Engine) endQueued(s *routingState) {
	for p, q := range e.queued {
		cause, allows := p.keyChange(s.table), p.allows()
		switch {
		case cause != "":
		case allows != nil && !slices.ContainsFunc(s.targets[p.service], allows):
			cause = causeNoRegion
		}
		q.waiter.Allows = allows
		if cause == "" {
			continue
		}
		if q.chooser.Queue.Remove(q.waiter) {
			q.ended <- cause
		}
		delete(e.queued, p)
	}
}
