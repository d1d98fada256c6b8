package kqfeed

import (
	"maps"

	"kumquatglade/internal/state/kqcontract"
)

// View is the contracts and hosts in force; it is never changed once made.
type View struct {
	Cluster   string                          `json:"cluster,omitempty"`
	Revision  uint64                          `json:"revision"`
	Contracts map[string]*kqcontract.Contract `json:"contracts"`
	Hosts     kqcontract.Hosts                `json:"hosts"`
	Listed    uint64                          `json:"listed"` // revision at which Hosts last changed
}

// viewOf copies what entry hosts need of the state.
func viewOf(s *kqcontract.State) View {
	v := View{Revision: s.Revision, Contracts: map[string]*kqcontract.Contract{}, Hosts: s.Hosts, Listed: s.Listed}
	for owner, rec := range s.Owners {
		if rec.Current != nil {
			v.Contracts[owner] = rec.Current
		}
	}
	return v
}

// with returns the view after the next change.
func (v View) with(c kqcontract.Change) View {
	v.Revision = c.Revision
	if c.Hosts != nil {
		v.Hosts, v.Listed = *c.Hosts, c.Revision
	}
	if c.Owner == "" {
		return v
	}
	v.Contracts = maps.Clone(v.Contracts)
	if c.Contract == nil {
		delete(v.Contracts, c.Owner)
	} else {
		v.Contracts[c.Owner] = c.Contract
	}
	return v
}
