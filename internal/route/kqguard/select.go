package kqguard

import (
	"cmp"
	"slices"

	"kumquatglade/internal/state/kqcontract"

	"github.com/cespare/xxhash/v2"
)

// guardsPerKey is the number of guards of a key, if there are that many hosts.
const guardsPerKey = 3

// Majority returns how many of a key's guards must grant a claim, given the number
// of hosts in the list.
func Majority(hosts int) int {
	return min(hosts, guardsPerKey)/2 + 1
}

// SelectGuards returns the names of a key's guards, chosen by rendezvous hashing, in
// different failure domains as far as there are enough.
func SelectGuards(key string, hosts []kqcontract.EntryHost) []string {
	order := slices.Clone(hosts)
	weight := func(h kqcontract.EntryHost) uint64 { return xxhash.Sum64String(key + "|" + h.Name) }
	slices.SortFunc(order, func(a, b kqcontract.EntryHost) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.Name, b.Name))
	})
	var names, sameDomain []string
	domains := map[string]bool{}
	for _, h := range order {
		if domains[h.Domain] {
			sameDomain = append(sameDomain, h.Name)
			continue
		}
		domains[h.Domain] = true
		names = append(names, h.Name)
	}
	names = append(names, sameDomain...)
	return names[:min(len(names), guardsPerKey)]
}
