package kqselection

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldSharers is how many of the listed entry hosts share the rate of a cold target: with
	// two, one can stop without leaving the target unused.
	coldSharers = 2

	// coldLists is how many different lists of entry hosts may be in force at once within the
	// limits: control hosts that see different hosts publish different lists.
	coldLists = 2

	// coldListAge is the age of the last confirmation by a control host up to which the list
	// gives a right to send to cold targets. A host without control hosts gives up its rights
	// before those that replace it begin.
	coldListAge = 2 * time.Second

	// coldTakeover is how long a host must have been one of the sharers before it sends. It
	// is as long as coldListAge, so that a partitioned predecessor has stopped, and it skips
	// the short-lived lists of a control host that has just started.
	coldTakeover = 2 * time.Second

	// coldJitter is the share of a host's part that is left unused, because the times between
	// two sends differ from those between their arrivals.
	coldJitter = 0.1
)

// ColdLimits bound what a cold target gets in any one second from all hosts together: Overrun
// times its rate, plus Slack requests. If both are 0, defaultColdLimits apply.
type ColdLimits struct {
	Overrun float64
	Slack   float64
}

// defaultColdLimits apply where the settings name none.
var defaultColdLimits = ColdLimits{Overrun: 1.5, Slack: 8}

// ColdPace is how often hosts may send to one cold target.
type ColdPace struct {
	Sharers  int           // hosts that may send
	Interval time.Duration // least time between two sends of one of them
}

// Pace returns the pace for targets that handle rate requests per second while cold. Each
// sharer has a token bucket that holds one token and fills at an equal share of the rate, or
// more slowly if the sharers under coldLists lists would exceed the limits together. Limits
// below coldLists requests leave no room for a change of the list; they hold under one list.
func (l ColdLimits) Pace(rate float64) ColdPace {
	if l == (ColdLimits{}) {
		l = defaultColdLimits
	}
	limit, sharers := l.Overrun*rate+l.Slack, coldSharers
	if limit < coldSharers*coldLists {
		sharers = 1 // several hosts that send once each would exceed the limit
	}
	// k+1 sends of one host take at least k intervals: a host whose interval is more than a
	// k-th of a second sends at most k requests in any second.
	perSecond := max(math.Floor(limit/float64(sharers*coldLists)), 1)
	r := min(rate/float64(sharers), (1-coldJitter)*perSecond)
	return ColdPace{Sharers: sharers, Interval: time.Duration(min(float64(time.Second)/r, float64(maxColdInterval)))}
}

// maxColdInterval keeps the interval of tiny rates within what can be added to a time.
const maxColdInterval = time.Hour

// EntryList is the list of entry hosts that accept requests, as this host knows it. The
// targets of services with a cold rate share it.
type EntryList struct {
	HeardAt time.Time // last confirmation by a control host, zero: never

	self      uint64
	hashes    []uint64 // of the calls addresses, sorted
	changedAt time.Time
}

// NewEntryList returns the empty list of the entry host with the calls address.
func NewEntryList(self string) *EntryList { return &EntryList{self: xxhash.Sum64String(self)} }

// Set replaces the calls addresses of the listed hosts and reports whether they changed.
func (l *EntryList) Set(addrs []string, now time.Time) bool {
	hashes := make([]uint64, len(addrs))
	for i, a := range addrs {
		hashes[i] = xxhash.Sum64String(a)
	}
	slices.Sort(hashes)
	if slices.Equal(hashes, l.hashes) {
		return false
	}
	l.hashes, l.changedAt = hashes, now
	return true
}

// shares reports whether this host is one of the n listed hosts with the highest
// rendezvous hashes for the target.
func (l *EntryList) shares(target uint64, n int) bool {
	own, higher, listed := mix(l.self, target), 0, false
	for _, h := range l.hashes {
		switch {
		case h == l.self:
			listed = true
		case mix(h, target) > own:
			if higher++; higher >= n {
				return false
			}
		}
	}
	return listed
}

// mix combines two hashes; each bit of the result depends on all bits of both (the
// finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
