package kqroutes

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says what may be repeated of the requests of a route.
type Kind string

// Kinds of a route.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once for each request
	Upload Kind = "upload" // large bodies, otherwise as Unsafe
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool {
	return k == Safe
}

const (
	// MaxDocument is the largest document in bytes, as the operator wrote it.
	MaxDocument = 8 << 20

	// MaxTimeout is the longest timeout of a route.
	MaxTimeout = 10 * time.Minute
)

// Document is all routes that are in force together.
type Document struct {
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Hosts    []Host    `json:"hosts"`
}

// Service is what a route may lead to.
type Service struct {
	Name        string `json:"name"`
	Health      string `json:"health"`      // path that tells load and health
	Connections int    `json:"connections"` // that one target accepts from all hosts together, 0 if unknown
}

// Limits bound what callers may send; zero means no bound of the operator's.
type Limits struct {
	Header     int           `json:"header"`     // bytes
	Body       int64         `json:"body"`       // bytes
	HeaderTime time.Duration `json:"headerTime"` // for a whole head
	IdleTime   time.Duration `json:"idleTime"`   // of a connection without a request
}

// Host is the routes of one host name.
type Host struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route leads the requests of one path prefix to a service.
type Route struct {
	Name      string            `json:"name"`
	Prefix    string            `json:"prefix"`
	Service   string            `json:"service,omitempty"`
	Split     []WeightedService `json:"split,omitempty"` // in place of Service
	Kind      Kind              `json:"kind"`
	Attempts  int               `json:"attempts"`  // targets that one request may be sent to
	Timeout   time.Duration     `json:"timeout"`   // for a final answer
	Objective time.Duration     `json:"objective"` // latency that callers want
	Priority  int               `json:"priority"`  // 0 is the most urgent
	Owner     string            `json:"owner,omitempty"`
}

// Part is one service of a split.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Has reports whether the document names the service.
func (d *Document) HasService(service string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == service })
}

// Validate says what is wrong with the document, naming the route.
func (d *Document) Validate() error {
	known := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" {
			return errors.New("routes: a service has no name")
		}
		known[s.Name] = true
	}
	if d.Limits.Header < 0 || d.Limits.Body < 0 || d.Limits.HeaderTime < 0 || d.Limits.IdleTime < 0 {
		return errors.New("routes: a limit is below 0")
	}
	for _, h := range d.Hosts {
		if h.Name == "" {
			return errors.New("routes: a host has no name")
		}
		for _, r := range h.Routes {
			if err := r.validate(known); err != nil {
				return errors.Wrapf(err, "routes: host %s: route %s", h.Name, r.Name)
			}
		}
	}
	return nil
}

func (r *Route) validate(known map[string]bool) error {
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' {
		return errors.Newf("prefix %q: want a leading slash", r.Prefix)
	}
	switch r.Kind {
	case Safe, Unsafe, Upload:
	default:
		return errors.Newf("kind %q: want safe, unsafe or upload", r.Kind)
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		return errors.Newf("timeout %s: want more than 0 and at most %s", r.Timeout, MaxTimeout)
	}
	if r.Attempts < 0 || r.Objective < 0 {
		return errors.New("attempts or objective is below 0")
	}
	if len(r.Split) == 0 {
		if !known[r.Service] {
			return errors.Newf("service %q is unknown", r.Service)
		}
		return nil
	}
	return r.validateSplit(known)
}

func (r *Route) validateSplit(known map[string]bool) error {
	if r.Service != "" {
		return errors.New("both a service and a split")
	}
	for _, p := range r.Split {
		if !known[p.Service] {
			return errors.Newf("service %q is unknown", p.Service)
		}
		if !(p.Weight >= 0) { // also refuses what is no number
			return errors.Newf("weight %v: want 0 or more", p.Weight)
		}
	}
	return nil
}
