package kqpolicy

import (
	"math/rand/v2"
	"sort"

	kq "kumquatglade"
)

// Names of the policies.
const (
	NameLeastExpectedTime = "expected"
	NameRandom            = "random"
	NameRoundRobin        = "roundrobin"
	NameTwoChoices        = "twochoices"
	NameLeastLocal        = "leastlocal"
)

// New returns the named policy, false if there is none.
func New(name string) (kq.Policy, bool) {
	switch name {
	case NameLeastExpectedTime:
		return LeastExpectedTime{}, true
	case NameRandom:
		return Random{}, true
	case NameRoundRobin:
		return &RoundRobin{}, true
	case NameTwoChoices:
		return TwoChoices{}, true
	case NameLeastLocal:
		return LeastLocal{}, true
	}
	return nil, false
}

// Random chooses any target.
type Random struct{}

// Choose implements kq.Policy.
func (Random) Choose(list []kq.Candidate, rng *rand.Rand) int {
	return rng.IntN(len(list))
}

// RoundRobin chooses the targets in turn by their names.
type RoundRobin struct{ lastID string }

// Choose implements kq.Policy.
func (p *RoundRobin) Choose(list []kq.Candidate, _ *rand.Rand) int {
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return list[order[a]].ID < list[order[b]].ID })
	at := sort.Search(len(order), func(i int) bool { return list[order[i]].ID > p.lastID })
	i := order[at%len(order)]
	p.lastID = list[i].ID
	return i
}

// TwoChoices draws two targets and takes the one with fewer calls from here.
type TwoChoices struct{}

// Choose implements kq.Policy.
func (TwoChoices) Choose(list []kq.Candidate, rng *rand.Rand) int {
	a, b := rng.IntN(len(list)), rng.IntN(len(list))
	if list[b].Inflight < list[a].Inflight {
		return b
	}
	return a
}

// LeastLocal takes the target with the fewest calls from here.
type LeastLocal struct{}

// Choose implements kq.Policy.
func (LeastLocal) Choose(list []kq.Candidate, rng *rand.Rand) int {
	return lowestScore(list, rng, func(c kq.Candidate) float64 { return float64(c.Inflight) })
}

// least returns the index of the lowest score, at random among equals.
func lowestScore(list []kq.Candidate, rng *rand.Rand, score func(kq.Candidate) float64) int {
	best, low, ties := 0, score(list[0]), 1
	for i := 1; i < len(list); i++ {
		s := score(list[i])
		switch {
		case s < low:
			best, low, ties = i, s, 1
		case s == low:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
