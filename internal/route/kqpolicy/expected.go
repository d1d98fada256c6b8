package kqpolicy

import (
	"math/rand/v2"

	kq "kumquatglade"
)

// LeastExpectedTime chooses the target with the lowest expected time of one more call: the
// service time of the target and the wait for a free slot.
type LeastExpectedTime struct{}

const (
	unknownLatency  = 0.005 // seconds, assumed while no target has a known latency
	noiseFactor     = 2.0   // latencies below this multiple of the mean count as the mean: the difference is noise
	busySlotPenalty = 0.25  // additional share of the service time when all slots are busy
)

// Choose implements kq.Policy.
func (LeastExpectedTime) Choose(list []kq.Candidate, rng *rand.Rand) int {
	mean := meanLatency(list)
	return lowestScore(list, rng, func(c kq.Candidate) float64 { return expectedTime(c, mean) })
}

func expectedTime(c kq.Candidate, mean float64) float64 {
	latency := c.Latency
	if latency < noiseFactor*mean {
		latency = mean
	}
	slots := float64(c.Slots) * max(c.Weight, 0.01)
	busy := float64(c.Inflight)
	waiting := max(0, busy+1-slots) / slots
	return latency * (1 + waiting + busySlotPenalty*busy/slots)
}

// meanLatency returns the mean of the known latencies, in seconds.
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
