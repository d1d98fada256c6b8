package kqroutes

import (
	"slices"
	"strings"

	"kumquatglade/internal/state/kqpath"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]prefixRoute // longest prefix first
	needsKey bool
	issued   bool              // callers may have keys
	owners   map[string]*Owner // by name
	keys     map[KeyDigest]*Owner
}

// prefixRoute is a route with the canonical form of its prefix.
type prefixRoute struct {
	prefix string
	route  Route
}

// NewTable returns a table of the document's routes.
func NewTable(d *Document) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, Services: map[string]Service{}, hosts: map[string][]prefixRoute{}, needsKey: d.NeedsKey(), issued: d.issuedKeys(),
	}
	for _, s := range d.Services {
		t.Services[s.Name] = s
	}
	for _, h := range d.Hosts {
		name := hostKey(h.Name)
		for _, r := range h.Routes {
			t.hosts[name] = append(t.hosts[name], prefixRoute{kqpath.Canonical(r.Prefix), r})
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b prefixRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	if len(d.Owners) > 0 {
		t.owners, t.keys = make(map[string]*Owner, len(d.Owners)), make(map[KeyDigest]*Owner, len(d.Owners))
	}
	for i := range d.Owners {
		o := &d.Owners[i]
		t.owners[o.Name] = o
		for _, k := range o.Keys {
			t.keys[k] = o
		}
	}
	return t
}

// NeedsKey reports whether requests need a key, unless their route is open.
func (t *Table) NeedsKey() bool { return t.needsKey }

// HasIssuedKeys reports whether callers may have keys, also if requests need none any more.
func (t *Table) HasIssuedKeys() bool { return t.issued }

// Owner returns the owner with the name, nil if there is none.
func (t *Table) Owner(name string) *Owner { return t.owners[name] }

// OwnerByKey returns the owner that has the key, nil if none has.
func (t *Table) OwnerByKey(k KeyDigest) *Owner { return t.keys[k] }

// Find returns the route of the host with the longest prefix that matches the canonical path,
// and false if there is none. The host is compared with its port.
func (t *Table) Find(host, path string) (*Route, bool) {
	return findPrefix(t.hosts[hostKey(host)], path)
}

// FindAnyPort is like Find, but a host that is not listed with its port is taken without it.
func (t *Table) FindAnyPort(host, path string) (*Route, bool) {
	list, ok := t.hosts[hostKey(host)]
	if name, hasPort := withoutPort(host); !ok && hasPort {
		list = t.hosts[hostKey(name)]
	}
	return findPrefix(list, path)
}

// findPrefix returns the first route of the list whose prefix matches.
func findPrefix(list []prefixRoute, path string) (*Route, bool) {
	for i := range list {
		if strings.HasPrefix(path, list[i].prefix) {
			return &list[i].route, true
		}
	}
	return nil, false
}

// PickService returns the service for one request, empty if no service of the split has
// a weight. u is a random number that is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	remaining := u * total
	last := ""
	for _, p := range r.Split {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if remaining < p.Weight {
			return p.Service
		}
		remaining -= p.Weight
	}
	return last // rounding can leave a remainder after the last service
}
