package kqcall

import (
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"
)

// Enforce makes the limits of a newer view act on this host.
func (e *Engine) Enforce(old, v *kqfeed.View) {
	n := max(1, len(v.Hosts.Entry))
	e.entries.Store(int64(n))
	for owner, c := range v.Contracts {
		for _, s := range c.Services {
			e.Feed(kqdispatch.Granted{Owner: owner, Service: s, Share: evenShare(s, n)})
		}
	}
	if old != nil {
		e.revoke(old, v)
	}
	e.book.Keep(func(owner string) bool { return v.Contracts[owner] != nil })
}

func (e *Engine) revoke(old, v *kqfeed.View) {
	for owner, c := range old.Contracts {
		for _, s := range c.Services {
			now := v.Contracts[owner]
			if now != nil {
				if _, ok := now.Service(s.Name); ok {
					continue
				}
			}
			e.Feed(kqdispatch.Revoked{Owner: owner, Service: s.Name})
		}
	}
}

// evenShare is one host's part when all n hosts get the same. Whole numbers
// are rounded down, so that the sum over hosts never exceeds the limit.
func evenShare(s kqcontract.Service, n int) kqdispatch.Share {
	return kqdispatch.Share{
		Rate:   s.Rate / float64(n),
		Burst:  max(1, s.Burst/n),
		Active: max(1, s.Active/n),
		Queue:  s.Queue / n,
	}
}

// TargetUpdated takes new facts of a target.
func (e *Engine) TargetUpdated(r kqdirectory.Record) {
	e.Feed(kqdispatch.Updated{Record: r})
}

// TargetReported takes a load that a target announced.
func (e *Engine) TargetReported(r kqdirectory.Record) {
	e.Feed(kqdispatch.Reported{Record: r})
}
