package kqroutes

import "strings"

// Table finds the route of a request; it is never changed once made.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]Route // longest prefix first
}

// NewTable indexes the document.
func NewTable(d *Document) *Table {
	t := &Table{Version: d.Version, Limits: d.Limits, Services: map[string]Service{}, hosts: map[string][]Route{}}
	for _, s := range d.Services {
		t.Services[s.Name] = s
	}
	for _, h := range d.Hosts {
		name := hostName(h.Name)
		t.hosts[name] = append(t.hosts[name], h.Routes...)
	}
	for _, list := range t.hosts {
		sortByPrefix(list)
	}
	return t
}

// Find returns the route with the longest prefix that begins the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	list := t.hosts[hostName(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// hostName folds a host as requests may write it: without port, in lower case.
func hostName(s string) string {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.Contains(s[i:], "]") {
		s = s[:i]
	}
	return strings.ToLower(s)
}

// Pick returns the service for one request; u is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	rest := u * total
	last := ""
	for _, p := range r.Split {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if rest < p.Weight {
			return p.Service
		}
		rest -= p.Weight
	}
	return last // empty if no part has a weight
}
