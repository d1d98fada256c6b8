package kqroutes

import "fmt"

// Warning is a part of a valid document that has no effect or contradicts another part.
type Warning struct {
	Place string // the limits, service, owner, or host and route
	Text  string
}

// Warnings returns what an operator should look at before the document is sent.
func (d *Document) Warnings() []Warning {
	var list []Warning
	add := func(place, format string, args ...any) {
		list = append(list, Warning{place, fmt.Sprintf(format, args...)})
	}
	for _, s := range d.Services {
		if s.ColdRate > 0 && s.ColdTime == 0 {
			add("service "+s.Name, "coldRate %v has no effect without coldTime", s.ColdRate)
		}
	}
	if d.NeedsKey() && len(d.Owners) == 0 {
		add("owners", "an empty list: no request has a valid key, only open routes can be used")
	}
	for _, o := range d.Owners {
		place := "owner " + o.Name
		if len(o.Keys) == 0 {
			add(place, "no keys: no request can be from this owner")
		}
		switch {
		case o.Rate > 0 && o.Burst == 0:
			add(place, "rate %v without a burst: requests that arrive at the same time are refused", o.Rate)
		case o.Rate == 0 && o.Burst > 0:
			add(place, "burst %v has no effect without a rate", o.Burst)
		}
	}
	first := map[RouteKey]string{}
	for _, h := range d.Hosts {
		for i := range h.Routes {
			r := &h.Routes[i]
			place := "host " + h.Name + ": route " + r.Name
			key := routeKey(h.Name, r.Prefix)
			if other, ok := first[key]; ok {
				add(place, "never matches: route %s has the same host and prefix %s", other, r.Prefix)
			} else {
				first[key] = r.Name
			}
			r.warnings(place, d.Limits, add)
		}
	}
	return list
}

// warnings adds the warnings of the route.
func (r *Route) warnings(place string, limits Limits, add func(place, format string, args ...any)) {
	unused := 0
	for _, p := range r.Split {
		if p.Weight == 0 {
			unused++
			add(place, "service %s of the split has weight 0 and gets no requests", p.Service)
		}
	}
	if unused > 0 && unused == len(r.Split) {
		add(place, "no service of the split has a weight: all requests are refused")
	}
	if r.Timeout < r.Objective {
		add(place, "timeout %s is below the objective %s", r.Timeout, r.Objective)
	}
	if r.Kind == Upload && limits.Body == 0 {
		add(place, "uploads without a limit: limits.body is 0")
	}
}
