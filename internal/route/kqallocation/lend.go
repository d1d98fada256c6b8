package kqallocation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// lend computes the host's shares of all keys that are in demand, or that its
// callers are sent to.
func (a *Reducer) computeShares(now time.Time, host string) []Share {
	var out []Share
	for _, k := range a.reportedKeys() {
		part := min(a.divide(k)[host], leasedTotal-a.committed(k, host, now))
		if part > 0 {
			out = append(out, Share{k, part})
		}
	}
	return out
}

// keys returns every key that some host reported, in a fixed order.
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

// committed is what the other hosts may use or still use of a key.
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

// due divides a key by demand: nobody gets more than it needs while another
// lacks; what is left goes to the hosts that the service's callers are sent to.
func (a *Reducer) divide(k Key) map[string]float64 {
	out := map[string]float64{}
	left := leasedTotal
	open := map[string]float64{}
	for _, h := range a.hosts {
		if m := a.hostStates[h]; m != nil && m.demands[k].Want > 0 {
			open[h] = m.demands[k].Want * demandHeadroom
		}
	}
	for len(open) > 0 && left > 1e-9 {
		even := left / float64(len(open))
		given := 0.0
		for _, h := range a.hosts {
			want, ok := open[h]
			if !ok {
				continue
			}
			part := min(want, even)
			out[h] += part
			given += part
			if want <= even {
				delete(open, h)
			} else {
				open[h] = want - part
			}
		}
		left -= given
	}
	spare := a.cfg.Preferred(k.Service)
	for _, h := range spare {
		out[h] += max(0, left) / float64(len(spare))
	}
	return out
}
