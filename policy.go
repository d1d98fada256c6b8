package kq

import "math/rand/v2"

// Candidate is the information about one target that a routing policy decides by.
type Candidate struct {
	ID       string
	Domain   string
	Slots    int
	Inflight int     // attempts in progress from this host
	Weight   float64 // share of full load that the target may get, 0 to 1
	Latency  float64 // smoothed service time in seconds, 0 if unknown
}

// Policy chooses one target for an attempt.
type Policy interface {
	// Choose returns the index of the chosen candidate; list is never empty.
	Choose(list []Candidate, rng *rand.Rand) int
}
