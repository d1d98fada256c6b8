package kqroutes

import (
	"maps"
	"slices"
	"strings"

	"kumquatglade/internal/state/kqpath"
)

// Delta is the difference between a document and a later version of it, or a full document.
type Delta struct {
	From     uint64      `json:"from"` // version it applies to, 0: it contains the full document and applies to any
	Version  uint64      `json:"version"`
	Services []Service   `json:"services,omitempty"` // the full list if it differs
	Limits   *Limits     `json:"limits,omitempty"`
	Set      []HostRoute `json:"set,omitempty"` // routes that were added or replaced
	Removed  []RouteKey  `json:"dropped,omitempty"`

	SetOwners     []Owner  `json:"owners,omitempty"` // owners that were added or replaced
	RemovedOwners []string `json:"droppedOwners,omitempty"`
	Keyed         bool     `json:"keyed,omitempty"`      // of the later version
	KeysIssued    bool     `json:"keysIssued,omitempty"` // of the later version
}

// RouteKey identifies a route by the HTTP host name and the path prefix.
type RouteKey struct {
	Host   string `json:"h"` // normalized, as by hostKey
	Prefix string `json:"p"` // canonical; in a delta as written, which hosts of earlier versions compare
}

func routeKey(host, prefix string) RouteKey { return RouteKey{hostKey(host), kqpath.Canonical(prefix)} }

// HostRoute is a route together with its HTTP host name.
type HostRoute struct {
	Host  string `json:"h"`
	Route Route  `json:"r"`
}

func (d *Document) routesByKey() map[RouteKey]Route {
	m := map[RouteKey]Route{}
	for _, h := range d.Hosts {
		for _, r := range h.Routes {
			p := routeKey(h.Name, r.Prefix)
			if _, exists := m[p]; !exists { // of routes with the same prefix, Find returns the first
				m[p] = r
			}
		}
	}
	return m
}

// isFull reports whether the delta contains the full document.
func (d *Delta) isFull() bool { return d.From == 0 }

// hasDelta reports whether a delta can say what differs from the earlier document. It can't name
// version 0, nor say that the last service is gone. Hosts of earlier builds read deltas in the
// same way, so that the full document is what they can apply, too.
func (d *Document) hasDelta(from *Document) bool {
	return from != nil && from.Version != 0 && (len(d.Services) > 0 || len(from.Services) == 0)
}

// Diff returns the delta that turns from into d. With a nil from, or one that no delta can
// refer to, it contains the full document.
func (d *Document) Diff(from *Document) Delta {
	if !d.hasDelta(from) {
		from = nil
	}
	out := Delta{Version: d.Version, Keyed: d.Keyed, KeysIssued: d.KeysIssued}
	oldRoutes := map[RouteKey]Route{}
	if from != nil {
		out.From = from.Version
		oldRoutes = from.routesByKey()
	}
	if from == nil || !slices.Equal(from.Services, d.Services) {
		out.Services = d.Services
	}
	if from == nil || from.Limits != d.Limits {
		out.Limits = &d.Limits
	}
	newRoutes := d.routesByKey()
	for _, h := range d.Hosts {
		for _, r := range h.Routes {
			p := routeKey(h.Name, r.Prefix)
			old, ok := oldRoutes[p]
			if kept := newRoutes[p]; !equalRoutes(&kept, &r) || ok && equalRoutes(&old, &r) {
				continue
			}
			out.Set = append(out.Set, HostRoute{p.Host, r})
		}
	}
	for p, r := range oldRoutes {
		if _, ok := newRoutes[p]; !ok {
			out.Removed = append(out.Removed, RouteKey{p.Host, r.Prefix})
		}
	}
	out.diffOwners(from, d)
	return out
}

func (d *Delta) diffOwners(from, to *Document) {
	old := map[string]*Owner{}
	if from != nil {
		for i := range from.Owners {
			old[from.Owners[i].Name] = &from.Owners[i]
		}
	}
	for i := range to.Owners {
		o := &to.Owners[i]
		if before, ok := old[o.Name]; !ok || !equalOwners(before, o) {
			d.SetOwners = append(d.SetOwners, *o)
		}
		delete(old, o.Name)
	}
	d.RemovedOwners = slices.Sorted(maps.Keys(old))
}

// withOwners returns the owners after the delta, sorted by name.
func (d *Delta) withOwners(old []Owner) []Owner {
	if len(d.SetOwners)+len(d.RemovedOwners) == 0 {
		return old
	}
	replaced := make(map[string]bool, len(d.SetOwners)+len(d.RemovedOwners))
	for _, o := range d.SetOwners {
		replaced[o.Name] = true
	}
	for _, name := range d.RemovedOwners {
		replaced[name] = true
	}
	list := slices.DeleteFunc(slices.Clone(old), func(o Owner) bool { return replaced[o.Name] })
	list = append(list, d.SetOwners...)
	if len(list) == 0 {
		return nil // as in a document that never had owners
	}
	slices.SortFunc(list, func(a, b Owner) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func equalRoutes(a, b *Route) bool {
	x, y := *a, *b
	x.Split, y.Split = nil, nil
	return slices.Equal(a.Split, b.Split) && slices.Equal(a.Regions, b.Regions) && equalIgnoringSplit(x, y)
}

func equalIgnoringSplit(a, b Route) bool {
	return a.Name == b.Name && a.Prefix == b.Prefix && a.Service == b.Service && a.Kind == b.Kind &&
		a.Attempts == b.Attempts && a.Timeout == b.Timeout && a.Objective == b.Objective &&
		a.Priority == b.Priority && a.Owner == b.Owner && a.Open == b.Open
}

// With returns the document after the delta, and false if the delta applies to another
// version.
func (d *Document) With(delta Delta) (*Document, bool) {
	out := &Document{Version: delta.Version, Keyed: delta.Keyed, KeysIssued: delta.KeysIssued}
	m := map[RouteKey]Route{}
	if !delta.isFull() {
		if d == nil || d.Version != delta.From {
			return nil, false
		}
		out.Services, out.Limits, out.Owners = d.Services, d.Limits, d.Owners
		m = d.routesByKey()
	}
	if delta.Services != nil {
		out.Services = delta.Services
	}
	if delta.Limits != nil {
		out.Limits = *delta.Limits
	}
	for _, p := range delta.Removed {
		delete(m, routeKey(p.Host, p.Prefix)) // a host of an earlier version does not normalize
	}
	for _, s := range delta.Set {
		m[routeKey(s.Host, s.Route.Prefix)] = s.Route
	}
	out.Hosts = groupByHost(m)
	out.Owners = delta.withOwners(out.Owners)
	return out, true
}

// groupByHost returns the routes by host, sorted by host name and prefix.
func groupByHost(m map[RouteKey]Route) []Host {
	byHost := map[string][]Route{}
	for p, r := range m {
		byHost[p.Host] = append(byHost[p.Host], r)
	}
	var list []Host
	for name, routes := range byHost {
		slices.SortFunc(routes, func(a, b Route) int {
			if a.Prefix < b.Prefix {
				return -1
			}
			return 1
		})
		list = append(list, Host{Name: name, Routes: routes})
	}
	slices.SortFunc(list, func(a, b Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
