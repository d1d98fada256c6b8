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
	// Hold is how long callers keep an answer, before jitter.
	HoldTime = 10 * time.Second

	callsPerSecondPerHost = 2000 // calls a second of one service that one entry host is given
	minHosts              = 2
)

// Question asks for the entry hosts of a service.
type Query struct {
	Service string
	Rate    float64                // calls a second of all owners' contracts together
	Hosts   []kqcontract.EntryHost // entry hosts in force that are reachable and not leaving
}

// Entries returns the hosts for the service in the order of preference. Every
// host answers alike as long as it knows the same hosts.
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

// spread takes n hosts by their order, but the second from another failure
// domain than the first if there is one.
func selectAcrossDomains(hosts []kqcontract.EntryHost, n int) []kqcontract.EntryHost {
	other := slices.IndexFunc(hosts, func(h kqcontract.EntryHost) bool { return h.Domain != hosts[0].Domain })
	if other > 1 {
		h := hosts[other]
		hosts = slices.Insert(slices.Delete(hosts, other, other+1), 1, h)
	}
	return hosts[:n]
}
