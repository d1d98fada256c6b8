package kqfeed

import (
	"maps"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"

	"github.com/cockroachdb/errors"
)

// View is the contracts and hosts in force; it is never changed once made.
type View struct {
	Cluster       string                          `json:"cluster,omitempty"`
	Revision      uint64                          `json:"revision"`
	Contracts     map[string]*kqcontract.Contract `json:"contracts"`
	Hosts         kqcontract.Hosts                `json:"hosts"`
	HostsRevision uint64                          `json:"listed"` // revision at which Hosts last changed
	Routes        *kqroutes.Document              `json:"routes,omitempty"`
	Targets       []kqtargets.Target              `json:"targets,omitempty"` // that have not gone
}

// viewOf copies what entry hosts need of the state.
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
	return v
}

// with returns the view after the changes that follow it without a gap; those
// that it holds already change nothing. An error says that a change does not
// fit the routes of the view.
func (v View) with(list []kqcontract.Change) (View, error) {
	var moved []kqtargets.Target
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
				return v, errors.Newf("change %d does not fit its routes", c.Revision)
			}
			v.Routes = next
		}
		moved = append(moved, c.Targets...)
		if c.Hosts != nil {
			v.Hosts, v.HostsRevision = *c.Hosts, c.Revision
		}
		if c.Owner != "" {
			v.Contracts = withContract(v.Contracts, c.Owner, c.Contract)
		}
	}
	if len(moved) > 0 {
		v.Targets = mergeTargets(v.Targets, moved)
	}
	return v, nil
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

// merge returns the list with the changed targets in place, the last word on
// each; those that are gone leave it.
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
