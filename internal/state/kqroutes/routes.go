package kqroutes

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says whether the requests of a route may run more than once.
type Kind string

// Kinds of routes.
const (
	Safe     Kind = "safe"     // may run more than once
	Unsafe   Kind = "unsafe"   // each request runs at most once
	Upload   Kind = "upload"   // like Unsafe, for requests with large bodies
	Download Kind = "download" // like Safe, for large responses
)

// Kinds returns the kinds of routes that documents of the product may have. An adapter decides
// by itself which of them its operators may name.
func Kinds() []Kind { return []Kind{Safe, Unsafe, Upload, Download} }

// Repeatable reports whether a request of this kind may run more than once.
func (k Kind) Repeatable() bool {
	return k == Safe || k == Download
}

const (
	// MaxDocument is the maximum size in bytes of a document as the operator sends it.
	MaxDocument = 8 << 20

	// MaxTimeout is the longest timeout of a route.
	MaxTimeout = 10 * time.Minute
)

// Document is one version of all services, limits and routes.
type Document struct {
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Hosts    []Host    `json:"hosts"`
	Owners   []Owner   `json:"owners,omitempty"`
	Keyed    bool      `json:"keyed,omitempty"` // the operator listed owners, if only an empty list: requests need a key

	// KeysIssued is set by the registry: this or an earlier version needed keys, which callers may still present.
	KeysIssued bool `json:"keysIssued,omitempty"`
}

// Service is a group of targets that routes can send requests to.
type Service struct {
	Name        string `json:"name"`
	Health      string `json:"health"`      // path at which a target reports load and health
	Connections int    `json:"connections"` // maximum that one target accepts from all hosts together, 0 if unknown

	ColdTime time.Duration `json:"coldTime,omitempty"` // for which a target is slow after its start
	ColdRate float64       `json:"coldRate,omitempty"` // requests per second that a cold target can handle, 0: no limit
}

// Limits bounds what callers may send. A zero means that the operator sets no bound.
type Limits struct {
	Header     int           `json:"header"`     // bytes
	Body       int64         `json:"body"`       // bytes
	HeaderTime time.Duration `json:"headerTime"` // to receive a complete request header
	IdleTime   time.Duration `json:"idleTime"`   // that a connection may stay open without a request
}

// Host holds the routes of one host name.
type Host struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route sends the requests of one path prefix to a service.
type Route struct {
	Name      string            `json:"name"`
	Prefix    string            `json:"prefix"`
	Service   string            `json:"service,omitempty"`
	Split     []WeightedService `json:"split,omitempty"` // alternative to Service
	Kind      Kind              `json:"kind"`
	Attempts  int               `json:"attempts"`  // maximum number of targets that one request is sent to
	Timeout   time.Duration     `json:"timeout"`   // until the final response
	Objective time.Duration     `json:"objective"` // latency objective
	Priority  int               `json:"priority"`  // 0 is the highest
	Owner     string            `json:"owner,omitempty"`
	Open      bool              `json:"open,omitempty"`    // requests need no key
	Regions   []string          `json:"regions,omitempty"` // of the targets that requests may be sent to, empty: all
}

// WeightedService is one service of a traffic split and its share relative to the others.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// HasService reports whether the document contains the service.
func (d *Document) HasService(service string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == service })
}

// NeedsKey reports whether requests need a key, unless their route is open.
func (d *Document) NeedsKey() bool {
	return d.Keyed || len(d.Owners) > 0 // hosts of earlier versions know owners only
}

// issuedKeys reports whether callers may have keys: the document or an earlier version needed
// them.
func (d *Document) issuedKeys() bool { return d.KeysIssued || d.NeedsKey() }

// HasColdRate reports whether the document limits what cold targets of the service get.
func (d *Document) HasColdRate(service string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == service && s.ColdRate > 0 })
}

// Validate returns the first error in the document, with the host and route that it is in.
func (d *Document) Validate() error {
	known := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" {
			return errors.New("routes: a service has no name")
		}
		if s.ColdTime < 0 || !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 0) { // also refuses NaN
			return errors.Newf("routes: service %s: cold time or cold rate is out of range", s.Name)
		}
		known[s.Name] = true
	}
	if d.Limits.Header < 0 || d.Limits.Body < 0 || d.Limits.HeaderTime < 0 || d.Limits.IdleTime < 0 {
		return errors.New("routes: a limit is below 0")
	}
	if err := validateOwners(d.Owners); err != nil {
		return err
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
	if !slices.Contains(Kinds(), r.Kind) {
		return errors.Newf("kind %q: want one of %q", r.Kind, Kinds())
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
	total := 0.0
	for _, p := range r.Split {
		if !known[p.Service] {
			return errors.Newf("service %q is unknown", p.Service)
		}
		if !(p.Weight >= 0) { // also refuses NaN
			return errors.Newf("weight %v: want 0 or more", p.Weight)
		}
		total += p.Weight
	}
	if math.IsInf(total, 0) {
		return errors.New("the weights add up to more than can be counted")
	}
	return nil
}
