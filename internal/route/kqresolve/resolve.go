package kqresolve

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquatglade/internal/state/kqcontract"

	"github.com/cespare/xxhash/v2"
)

const (
	// HoldTime is how long callers keep a response, before jitter.
	HoldTime = 10 * time.Second

	callsPerSecondPerHost = 2000 // load of one service that one entry host gets
	minHosts              = 2
)

// Query describes the service and the entry hosts to choose from.
type Query struct {
	Service string
	Rate    float64                // calls per second that the contracts of all owners together grant
	Hosts   []kqcontract.EntryHost // entry hosts in force that are reachable and not shutting down
}

// Entries returns the entry hosts for the service in the order of preference. All
// entry hosts return the same result for the same query.
func Entries(q Query) []kqcontract.EntryHost {
	hosts := slices.Clone(q.Hosts)
	weight := func(h kqcontract.EntryHost) uint64 { return xxhash.Sum64String(q.Service + "|" + h.Name) }
	slices.SortFunc(hosts, func(a, b kqcontract.EntryHost) int { return cmp.Compare(weight(a), weight(b)) })
	if len(hosts) == 0 {
		return hosts
	}
	wanted := max(minHosts, math.Ceil(q.Rate/callsPerSecondPerHost))
	return selectAcrossDomains(hosts, int(min(wanted, float64(len(hosts)))))
}

// selectAcrossDomains returns the first n hosts, after moving the first host from
// another failure domain than hosts[0] to the second place.
func selectAcrossDomains(hosts []kqcontract.EntryHost, n int) []kqcontract.EntryHost {
	other := slices.IndexFunc(hosts, func(h kqcontract.EntryHost) bool { return h.Domain != hosts[0].Domain })
	if other > 1 {
		h := hosts[other]
		hosts = slices.Insert(slices.Delete(hosts, other, other+1), 1, h)
	}
	return hosts[:n]
}
