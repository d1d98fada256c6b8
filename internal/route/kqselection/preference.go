package kqselection

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PreferredTargets is how many targets of a service each host prefers: two sets of
// MaxProbes, so that a free and fast one is usually among those that are probed.
const PreferredTargets = 2 * MaxProbes

// Rank returns the rank of a target on a host. Each host orders the targets differently.
func Rank(host, target string) uint64 { return xxhash.Sum64String(host + "|" + target) }

// Prefer marks the targets of a service that a host in the failure domain prefers: the n
// of its domain with the highest ranks. With few of them, connections stay open between
// requests and what is known is recent, also on a host with few requests; since the ranks
// differ, each target is preferred by about as many hosts. A target that joins or leaves
// changes one of them at most. The others are for when too few of these are free.
//
// While the failure domain is evacuated, the host prefers the n with the highest ranks of
// all other domains: with random ones, nearly every request would need a new connection.
func Prefer(list []*Target, domain string, n int) {
	evacuated := slices.ContainsFunc(list, func(t *Target) bool { return t.Evacuated && t.Domain == domain })
	near := make([]*Target, 0, len(list))
	for _, t := range list {
		t.Preferred = false
		if !t.Evacuated && (evacuated || t.Domain == domain) {
			near = append(near, t)
		}
	}
	slices.SortFunc(near, func(a, b *Target) int { return cmp.Compare(b.Rank, a.Rank) })
	for _, t := range near[:min(n, len(near))] {
		t.Preferred = true
	}
}
