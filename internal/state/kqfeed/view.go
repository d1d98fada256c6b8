package kqfeed

import (
	"maps"

	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"

	"github.com/cockroachdb/errors"
)

// View is the state that entry hosts act on at one revision. It is immutable.
type View struct {
	Cluster       string                          `json:"cluster,omitempty"`
	Revision      uint64                          `json:"revision"`
	Contracts     map[string]*kqcontract.Contract `json:"contracts"`
	Hosts         kqcontract.Hosts                `json:"hosts"`
	HostsRevision uint64                          `json:"listed"` // revision at which Hosts last changed
	Routes        *kqroutes.Document              `json:"routes,omitempty"`
	Targets       []kqtargets.Target              `json:"targets,omitempty"` // without those that are gone
	Evacuations   []kqcontract.Evacuation         `json:"evacuations,omitempty"`
}

// EvacuatedDomains returns the names of the evacuated failure domains.
func (v *View) EvacuatedDomains() []string { return kqcontract.EvacuatedDomains(v.Evacuations) }

// newView returns the part of the state that entry hosts need.
func newView(s *kqcontract.State) View {
	v := View{Revision: s.Revision, Contracts: map[string]*kqcontract.Contract{}, Hosts: s.Hosts, HostsRevision: s.HostsRevision}
	for owner, rec := range s.Owners {
		if rec.Current != nil {
			v.Contracts[owner] = rec.Current
		}
	}
	if s.Routes.Current != nil {
		v.Routes = &s.Routes.Current.Document
	}
	v.Targets = s.Targets.Live()
	v.Evacuations = s.Evacuations
	return v
}

// with returns the view after the changes that follow it without a gap. Changes that
// the view already contains are skipped. It fails if a change of routes builds on
// another version than the view's.
func (v View) with(list []kqcontract.Change) (View, error) {
	var changedTargets []kqtargets.Target
	for _, c := range list {
		if c.Revision <= v.Revision {
			continue
		}
		if c.Revision > v.Revision+1 {
			break
		}
		v.Revision = c.Revision
		if c.Routes != nil {
			next, ok := v.Routes.With(*c.Routes)
			if !ok {
				return v, errors.Newf("change %d builds on another version of the routes", c.Revision)
			}
			v.Routes = next
		}
		changedTargets = append(changedTargets, c.Targets...)
		if c.Evacuations != nil {
			v.Evacuations = c.Evacuations
		}
		if c.Hosts != nil {
			v.Hosts, v.HostsRevision = *c.Hosts, c.Revision
		}
		if c.Owner != "" {
			v.Contracts = withContract(v.Contracts, c.Owner, c.Contract)
		}
	}
	if len(changedTargets) > 0 {
		v.Targets = mergeTargets(v.Targets, changedTargets)
	}
	return v, nil
}

// recordEvacuations adds an event for each failure domain whose evacuation begins or ends
// with the next view.
func (f *Follower) recordEvacuations(old, next *View) {
	known := map[string]uint64{}
	if old != nil {
		for _, e := range old.Evacuations {
			known[e.Domain] = e.Revision
		}
	}
	for _, e := range next.Evacuations {
		if e.Revision == known[e.Domain] || old == nil && !e.On {
			continue
		}
		kind := "evacuated"
		if !e.On {
			kind = "restored"
		}
		f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: kind, ContractRevision: e.Revision, Text: "domain " + e.Domain})
	}
}

func withContract(old map[string]*kqcontract.Contract, owner string, c *kqcontract.Contract) map[string]*kqcontract.Contract {
	next := maps.Clone(old)
	if c == nil {
		delete(next, owner)
		return next
	}
	next[owner] = c
	return next
}

// mergeTargets returns the list with the last change of each changed target applied.
// Targets that are gone are removed.
func mergeTargets(list, changed []kqtargets.Target) []kqtargets.Target {
	last := make(map[string]int, len(changed))
	for i, c := range changed {
		last[c.ID] = i
	}
	out := make([]kqtargets.Target, 0, len(list)+len(last))
	for _, t := range list {
		if _, ok := last[t.ID]; !ok {
			out = append(out, t)
		}
	}
	for i, c := range changed {
		if c.State != kqtargets.Gone && last[c.ID] == i {
			out = append(out, c)
		}
	}
	return out
}
