package kqproxy

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"kumquatglade/internal/state/kqroutes"
)

// OwnerUsage is an owner with its limits and what this host did with its requests. It holds
// no keys.
type OwnerUsage struct {
	Name     string            `json:"name"`
	Priority *int              `json:"priority,omitempty"` // nil: that of the route
	Rate     float64           `json:"rate"`               // requests per second, 0: no limit
	Burst    float64           `json:"burst"`              // requests on top of the rate
	Keys     int               `json:"keys"`               // number of keys
	Regions  []string          `json:"regions,omitempty"`
	Answered uint64            `json:"answered"`          // requests with a target's response
	Failed   uint64            `json:"failed"`            // requests without a response, or with one that broke off
	Refused  map[string]uint64 `json:"refused,omitempty"` // requests that were refused and did not run, by cause
}

// OwnersUsage is the usage of all owners on one host.
type OwnersUsage struct {
	Host    string            `json:"host,omitempty"`
	Version uint64            `json:"version"` // of the routes
	Owners  []OwnerUsage      `json:"owners"`
	Refused map[string]uint64 `json:"refused,omitempty"` // requests refused for their key, by cause
}

// ListOwners returns the owners of the document, by name, without any usage.
func ListOwners(doc *kqroutes.Document) OwnersUsage {
	out := OwnersUsage{Version: doc.Version, Owners: make([]OwnerUsage, 0, len(doc.Owners))}
	for _, o := range doc.Owners {
		out.Owners = append(out.Owners, OwnerUsage{
			Name: o.Name, Priority: o.Priority, Rate: o.Rate, Burst: o.Burst, Keys: len(o.Keys), Regions: o.Regions,
		})
	}
	slices.SortFunc(out.Owners, func(a, b OwnerUsage) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ownerCounts counts the requests of one owner on this host.
type ownerCounts struct {
	answered, failed uint64
	refused          map[string]uint64
}

// Owners returns the owners of the document in force and their usage on this host.
func (e *Engine) Owners() OwnersUsage {
	e.mu.Lock()
	doc := e.doc
	e.mu.Unlock()
	if doc == nil {
		doc = &kqroutes.Document{}
	}
	out := ListOwners(doc)
	out.Host, out.Refused = e.cfg.Host, map[string]uint64{}
	for cause, n := range e.metrics.key {
		out.Refused[usageCause(0, cause)] = uint64(n.Count())
	}
	e.usageMu.Lock()
	defer e.usageMu.Unlock()
	for i := range out.Owners {
		o := &out.Owners[i]
		if c := e.usage[o.Name]; c != nil {
			o.Answered, o.Failed, o.Refused = c.answered, c.failed, maps.Clone(c.refused)
		}
	}
	return out
}

// recordUsage counts how a request of an owner ended. A response that broke off counts as
// failed, and so does a request whose caller left.
func (p *proxiedRequest) recordUsage(outcome string, status int, cause string) {
	if p.owner == nil {
		return
	}
	e := p.engine
	e.usageMu.Lock()
	defer e.usageMu.Unlock()
	c := e.usage[p.owner.Name]
	if c == nil {
		c = &ownerCounts{refused: map[string]uint64{}}
		e.usage[p.owner.Name] = c
	}
	switch outcome {
	case "answered":
		c.answered++
	case "refused":
		c.refused[usageCause(status, cause)]++
	default:
		c.failed++
	}
}

// dropUsage drops the counts of owners that the table does not have.
func (e *Engine) dropUsage(table *kqroutes.Table) {
	e.usageMu.Lock()
	defer e.usageMu.Unlock()
	maps.DeleteFunc(e.usage, func(name string, _ *ownerCounts) bool { return table.Owner(name) == nil })
}

// usageCauses are the names under which causes are counted.
var usageCauses = map[string]string{
	causeKeyMissing: "missing", causeKeyMalformed: "malformed", causeKeyUnknown: "unknown", causeKeyWithdrawn: "withdrawn", causeStateOld: "stale",
	causeNoRegion: "region", causeQuiet: "quiet", causeShutdown: "stopping", "no room in time": "room", "no target": "target",
}

// usageCause returns the name under which the cause of a refusal is counted: few names, as
// some causes hold addresses.
func usageCause(status int, cause string) string {
	if name := usageCauses[cause]; name != "" {
		return name
	}
	switch status {
	case http.StatusTooManyRequests:
		return "limit"
	case http.StatusRequestEntityTooLarge, http.StatusRequestTimeout:
		return "body"
	}
	return "other"
}
