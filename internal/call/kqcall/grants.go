package kqcall

import (
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"
)

// Enforce makes the limits of a newer view act on this host.
func (e *Engine) ApplyView(old, v *kqfeed.View) {
	e.entryHosts.Store(int64(max(1, len(v.Hosts.Entry))))
	e.view.Store(v)
	e.RefreshLimits()
	if old != nil {
		e.revokeRemoved(old, v)
	}
	e.accounts.Retain(func(owner string) bool { return v.Contracts[owner] != nil })
}

func (e *Engine) revokeRemoved(old, v *kqfeed.View) {
	for owner, c := range old.Contracts {
		for _, s := range c.Services {
			now := v.Contracts[owner]
			if now != nil {
				if _, ok := now.Service(s.Name); ok {
					continue
				}
			}
			e.HandleEvent(kqdispatch.LimitsRevoked{Owner: owner, Service: s.Name})
		}
	}
}

// Regrant makes the parts of all limits act that this host may use now.
func (e *Engine) RefreshLimits() {
	v := e.view.Load()
	if v == nil {
		return
	}
	for owner, c := range v.Contracts {
		for _, s := range c.Services {
			part := e.cfg.LimitFraction(owner, s.Name)
			e.HandleEvent(kqdispatch.LimitsGranted{Owner: owner, Service: s, Share: scaleLimits(s, part)})
		}
	}
}

// shareOf is a part of all limits of a service. Whole numbers are rounded
// down, so that the sum over hosts never exceeds the limit.
func scaleLimits(s kqcontract.Service, part float64) kqdispatch.Share {
	return kqdispatch.Share{
		Rate:   s.Rate * part,
		Burst:  int(float64(s.Burst) * part),
		Active: int(float64(s.Active) * part),
		Queue:  int(float64(s.Queue) * part),
	}
}

// Usages returns what each owner uses of its limits on this host.
func (e *Engine) Usages() []kqdispatch.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatch.Usages(e.cfg.Clock.Now())
}

// TargetUpdated takes new facts of a target.
func (e *Engine) TargetUpdated(r kqdirectory.Record) {
	e.HandleEvent(kqdispatch.TargetUpdated{Record: r})
}

// TargetReported takes a load that a target announced.
func (e *Engine) TargetReported(r kqdirectory.Record) {
	e.HandleEvent(kqdispatch.LoadReported{Record: r})
}
