package kqcall

import (
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"
)

// ApplyView applies the limits of a newer view on this host. old is the view that it
// replaces, or nil.
func (e *Engine) ApplyView(old, v *kqfeed.View) {
	e.entryHosts.Store(int64(max(1, len(v.Hosts.Entry))))
	e.view.Store(v)
	e.RefreshLimits()
	if old != nil {
		e.revokeRemoved(old, v)
	}
	e.accounts.Retain(func(owner string) bool { return v.Contracts[owner] != nil })
}

// revokeRemoved revokes the limits of services that the new view no longer contains.
func (e *Engine) revokeRemoved(old, v *kqfeed.View) {
	for owner, c := range old.Contracts {
		for _, s := range c.Services {
			current := v.Contracts[owner]
			if current != nil {
				if _, ok := current.Service(s.Name); ok {
					continue
				}
			}
			e.HandleEvent(kqdispatch.LimitsRevoked{Owner: owner, Service: s.Name})
		}
	}
}

// RefreshLimits applies the fractions of all limits that this host may use now.
func (e *Engine) RefreshLimits() {
	v := e.view.Load()
	if v == nil {
		return
	}
	for owner, c := range v.Contracts {
		for _, s := range c.Services {
			fraction := e.cfg.LimitFraction(owner, s.Name)
			e.HandleEvent(kqdispatch.LimitsGranted{Owner: owner, Service: s, Share: scaleLimits(s, fraction)})
		}
	}
}

// scaleLimits returns the given fraction of a service's limits. Integers are
// rounded down, so that the sum over hosts never exceeds the limit.
func scaleLimits(s kqcontract.Service, fraction float64) kqdispatch.Share {
	return kqdispatch.Share{
		Rate:   s.Rate * fraction,
		Burst:  int(float64(s.Burst) * fraction),
		Active: int(float64(s.Active) * fraction),
		Queue:  int(float64(s.Queue) * fraction),
	}
}

// Usages returns how much of its limits each owner needs and uses on this host.
func (e *Engine) Usages() []kqdispatch.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatch.Usages(e.cfg.Clock.Now())
}

// TargetUpdated passes a target's new record to the dispatch reducer.
func (e *Engine) TargetUpdated(r kqdirectory.Record) {
	e.HandleEvent(kqdispatch.TargetUpdated{Record: r})
}

// TargetReported passes the load that a target announced to the dispatch reducer.
func (e *Engine) TargetReported(r kqdirectory.Record) {
	e.HandleEvent(kqdispatch.LoadReported{Record: r})
}
