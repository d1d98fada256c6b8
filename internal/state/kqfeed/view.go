package kqfeed

import (
	"maps"
	"slices"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"
)

// View is the contracts and hosts in force; it is never changed once made.
type View struct {
	Cluster   string                          `json:"cluster,omitempty"`
	Revision  uint64                          `json:"revision"`
	Contracts map[string]*kqcontract.Contract `json:"contracts"`
	Hosts     kqcontract.Hosts                `json:"hosts"`
	Listed    uint64                          `json:"listed"` // revision at which Hosts last changed
	Routes    *kqroutes.Document              `json:"routes,omitempty"`
	Targets   []kqtargets.Target              `json:"targets,omitempty"` // that have not gone
}

// viewOf copies what entry hosts need of the state.
func viewOf(s *kqcontract.State) View {
	v := View{Revision: s.Revision, Contracts: map[string]*kqcontract.Contract{}, Hosts: s.Hosts, Listed: s.Listed}
	for owner, rec := range s.Owners {
		if rec.Current != nil {
			v.Contracts[owner] = rec.Current
		}
	}
	if s.Routes.Current != nil {
		v.Routes = &s.Routes.Current.Document
	}
	v.Targets = s.Targets.Live()
	return v
}

// with returns the view after the next change; false says that the change does
// not fit the routes of this view.
func (v View) with(c kqcontract.Change) (View, bool) {
	v.Revision = c.Revision
	if c.Routes != nil {
		next, ok := v.Routes.With(*c.Routes)
		if !ok {
			return v, false
		}
		v.Routes = next
	}
	if len(c.Targets) > 0 {
		v.Targets = merge(v.Targets, c.Targets)
	}
	if c.Hosts != nil {
		v.Hosts, v.Listed = *c.Hosts, c.Revision
	}
	if c.Owner == "" {
		return v, true
	}
	v.Contracts = maps.Clone(v.Contracts)
	if c.Contract == nil {
		delete(v.Contracts, c.Owner)
	} else {
		v.Contracts[c.Owner] = c.Contract
	}
	return v, true
}

// merge returns the list with the changed targets in place; those that are
// gone leave it.
func merge(list, changed []kqtargets.Target) []kqtargets.Target {
	out := make([]kqtargets.Target, 0, len(list)+len(changed))
	for _, t := range list {
		if !slices.ContainsFunc(changed, func(c kqtargets.Target) bool { return c.ID == t.ID }) {
			out = append(out, t)
		}
	}
	for _, c := range changed {
		if c.State != kqtargets.Gone {
			out = append(out, c)
		}
	}
	return out
}
