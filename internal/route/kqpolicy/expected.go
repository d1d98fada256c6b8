package kqpolicy

import (
	"math/rand/v2"

	kq "kumquatglade"
)

// Expected takes the target where one more call is expected to end first: its
// own service time, and the time that its calls wait for a free slot.
type LeastExpectedTime struct{}

const (
	unknownLatency  = 0.005 // seconds, for a target that has not answered yet
	noiseFactor     = 2.0   // latencies below so many times the typical one are noise
	busySlotPenalty = 0.25  // part of a service time that each busy share costs
)

// Choose implements kq.Policy.
func (LeastExpectedTime) Choose(list []kq.Candidate, rng *rand.Rand) int {
	typical := meanLatency(list)
	return lowestScore(list, rng, func(c kq.Candidate) float64 { return expectedTime(c, typical) })
}

func expectedTime(c kq.Candidate, typical float64) float64 {
	latency := c.Latency
	if latency < noiseFactor*typical {
		latency = typical
	}
	slots := float64(c.Slots) * max(c.Weight, 0.01)
	busy := float64(c.Inflight)
	waiting := max(0, busy+1-slots) / slots
	return latency * (1 + waiting + busySlotPenalty*busy/slots)
}

// typicalLatency is the mean of the known latencies.
func meanLatency(list []kq.Candidate) float64 {
	sum, n := 0.0, 0
	for _, c := range list {
		if c.Latency > 0 {
			sum += c.Latency
			n++
		}
	}
	if n == 0 {
		return unknownLatency
	}
	return sum / float64(n)
}
