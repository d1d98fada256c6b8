package kqroutes

import (
	"time"

	"kumquatglade/internal/state/kqcheck"

	"github.com/cockroachdb/errors"
)

// document is a Document as operators write it, with durations as strings.
type document struct {
	Version  uint64    `json:"version" validate:"required"`
	Services []service `json:"services" validate:"required,min=1,unique=Name,dive"`
	Limits   limits    `json:"limits"`
	Hosts    []host    `json:"hosts" validate:"unique=Name,dive"`
	Owners   []owner   `json:"owners" validate:"dive"` // not unique=Name: its error would show the keys; Validate checks the names
}

type owner struct {
	Name     string   `json:"name" validate:"required,word"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority" validate:"omitempty,min=0"`
	Rate     float64  `json:"rate" validate:"min=0"`
	Burst    float64  `json:"burst" validate:"min=0"`
	Regions  []string `json:"regions" validate:"dive,word"`
}

type service struct {
	Name        string `json:"name" validate:"required,word"`
	Health      string `json:"health" validate:"required"`
	Connections int    `json:"connections" validate:"min=0"`

	ColdTime duration `json:"coldTime"`
	ColdRate float64  `json:"coldRate" validate:"min=0"`
}

type limits struct {
	Header     int      `json:"header" validate:"min=0"`
	Body       int64    `json:"body" validate:"min=0"`
	HeaderTime duration `json:"headerTime"`
	IdleTime   duration `json:"idleTime"`
}

type host struct {
	Name   string  `json:"name" validate:"required"`
	Routes []route `json:"routes" validate:"dive"`
}

type route struct {
	Name      string            `json:"name" validate:"required"`
	Prefix    string            `json:"prefix" validate:"required"`
	Service   string            `json:"service"`
	Split     []WeightedService `json:"split"`
	Kind      Kind              `json:"kind" validate:"required"`
	Attempts  int               `json:"attempts" validate:"min=1,max=10"`
	Timeout   duration          `json:"timeout"`
	Objective duration          `json:"objective"`
	Priority  int               `json:"priority" validate:"min=0"`
	Owner     string            `json:"owner" validate:"omitempty,word"`
	Open      bool              `json:"open"`
	Regions   []string          `json:"regions" validate:"dive,word"`
}

// duration is a time.Duration written as a string such as "2s".
type duration time.Duration

// UnmarshalText parses a string such as "250ms".
func (d *duration) UnmarshalText(p []byte) error {
	v, err := time.ParseDuration(string(p))
	if err != nil {
		return errors.Newf("duration %q: want a text such as \"2s\"", p)
	}
	*d = duration(v)
	return nil
}

// Parse decodes and validates a document as operators write it. Unknown keys are
// refused. An error is one line that names the key or the route.
func Parse(p []byte) (*Document, error) {
	var d document
	if err := kqcheck.Decode(p, &d); err != nil {
		return nil, errors.Wrap(err, "routes")
	}
	if err := kqcheck.Struct(&d); err != nil {
		return nil, errors.Wrap(err, "routes")
	}
	out := &Document{Version: d.Version, Keyed: d.Owners != nil, Limits: Limits{
		Header: d.Limits.Header, Body: d.Limits.Body,
		HeaderTime: time.Duration(d.Limits.HeaderTime), IdleTime: time.Duration(d.Limits.IdleTime),
	}}
	for _, s := range d.Services {
		out.Services = append(out.Services, Service{
			Name: s.Name, Health: s.Health, Connections: s.Connections, ColdTime: time.Duration(s.ColdTime), ColdRate: s.ColdRate,
		})
	}
	for _, h := range d.Hosts {
		next := Host{Name: h.Name}
		for _, r := range h.Routes {
			next.Routes = append(next.Routes, Route{
				Name: r.Name, Prefix: r.Prefix, Service: r.Service, Split: r.Split, Kind: r.Kind, Attempts: r.Attempts,
				Timeout: time.Duration(r.Timeout), Objective: time.Duration(r.Objective), Priority: r.Priority, Owner: r.Owner,
				Open: r.Open, Regions: r.Regions,
			})
		}
		out.Hosts = append(out.Hosts, next)
	}
	for _, o := range d.Owners {
		keys, err := DigestKeys(o.Keys)
		if err != nil {
			return nil, errors.Wrapf(err, "routes: owner %s", o.Name)
		}
		out.Owners = append(out.Owners, Owner{
			Name: o.Name, Keys: keys, Priority: o.Priority, Rate: o.Rate, Burst: o.Burst, Regions: o.Regions,
		})
	}
	return out, out.Validate()
}
