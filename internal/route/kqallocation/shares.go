package kqallocation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// computeShares returns the shares to lease to a host: its part of each reported
// key, limited to what the other hosts cannot still be using.
func (a *Reducer) computeShares(now time.Time, host string) []Share {
	var out []Share
	for _, k := range a.reportedKeys() {
		fraction := min(a.divide(k)[host], leasedTotal-a.committed(k, host, now))
		if fraction > 0 {
			out = append(out, Share{k, fraction})
		}
	}
	return out
}

// reportedKeys returns every key in any host's latest report, sorted.
func (a *Reducer) reportedKeys() []Key {
	seen := map[Key]bool{}
	var list []Key
	for _, m := range a.hostStates {
		for k := range m.demands {
			if !seen[k] {
				seen[k] = true
				list = append(list, k)
			}
		}
	}
	slices.SortFunc(list, func(x, y Key) int {
		return cmp.Or(cmp.Compare(x.Owner, y.Owner), cmp.Compare(x.Service, y.Service))
	})
	return list
}

// committed returns the fraction of a key's limit that hosts other than the given
// one may still be using, through leases or through calls in flight.
func (a *Reducer) committed(k Key, host string, now time.Time) float64 {
	sum := 0.0
	for _, h := range a.hosts {
		if h == host {
			continue
		}
		if m := a.hostStates[h]; m != nil {
			sum += math.Max(m.leasedFraction(k, now), m.demands[k].InUse-fixedTotal/float64(len(a.hosts)))
		}
	}
	return sum
}

// divide splits the leased part of a key's limit by demand. No host gets more than
// its demand with headroom while another host's demand is unmet. The remainder is
// split evenly among the hosts that the service's callers are sent to.
func (a *Reducer) divide(k Key) map[string]float64 {
	out := map[string]float64{}
	remaining := leasedTotal
	unmet := map[string]float64{}
	for _, h := range a.hosts {
		if m := a.hostStates[h]; m != nil && m.demands[k].Want > 0 {
			unmet[h] = m.demands[k].Want * demandHeadroom
		}
	}
	for len(unmet) > 0 && remaining > 1e-9 {
		even := remaining / float64(len(unmet))
		given := 0.0
		for _, h := range a.hosts {
			want, ok := unmet[h]
			if !ok {
				continue
			}
			fraction := min(want, even)
			out[h] += fraction
			given += fraction
			if want <= even {
				delete(unmet, h)
			} else {
				unmet[h] = want - fraction
			}
		}
		remaining -= given
	}
	preferred := a.cfg.Preferred(k.Service)
	for _, h := range preferred {
		out[h] += max(0, remaining) / float64(len(preferred))
	}
	return out
}
