package kqmodel

import (
	"testing"
	"time"
)

// TestThirdOfTargetsReturnsCold plays a crowded service of which a third of the targets comes
// back cold at once: none of them gets more than its rate, none is left unused, and the others
// are not flooded by what the cold ones can't take.
func TestThirdOfTargetsReturnsCold(t *testing.T) {
	const (
		coldRate = 2.5
		limit    = coldRate*1.5 + 8 // requests in any one second
		minShare = 0.1              // of the rate that each cold target gets while capacity is short
		slack    = 0.015            // of the share in time, between two plays with other random numbers
	)
	for seed := range uint64(3) {
		cfg := Crowded()
		cfg.Seed, cfg.Fault = seed, Fault{Name: "third", Share: 1.0 / 3, Cold: 2}
		cfg.From, cfg.For, cfg.Duration = 5*time.Second, 12*time.Second, 20*time.Second
		unlimited, err := Run(cfg, Fresh)
		if err != nil {
			t.Fatal(err)
		}
		cfg.ColdRate = coldRate
		r, err := Run(cfg, Fresh)
		if err != nil {
			t.Fatal(err)
		}
		total, shed := 0, 0
		for i, sent := range r.Sent {
			shed += r.Shed[i]
			if i >= cfg.Targets/3 {
				continue
			}
			n, most := within(sent, cfg.From, cfg.From+cfg.For)
			total += n
			share := float64(n) / (coldRate * cfg.For.Seconds())
			after, _ := within(sent, cfg.From+cfg.For, cfg.Duration)
			if float64(most) > limit || share < minShare || share > 1 || after == 0 {
				t.Errorf("seed %d: target %d got %d requests while cold, at most %d in a second, and %d afterwards", seed, i, n, most, after)
			}
		}
		inTime, unlimitedInTime := float64(r.InTime)/float64(r.Requests), float64(unlimited.InTime)/float64(unlimited.Requests)
		t.Logf("%.2f of the cold rate used; in time %.3f, without limit %.3f; %d found a queue full",
			float64(total)/float64(cfg.Targets/3)/(coldRate*cfg.For.Seconds()), inTime, unlimitedInTime, shed)
		if shed > r.Requests/100 || inTime < unlimitedInTime-slack {
			t.Error("the other targets are flooded")
		}
	}
}

// within returns how many of the times are in the period, and the largest number in any
// second of it.
func within(times []time.Duration, from, to time.Duration) (n, most int) {
	var in []time.Duration
	for _, at := range times {
		if at < from || at >= to {
			continue
		}
		in = append(in, at)
		for at-in[0] >= time.Second {
			in = in[1:]
		}
		n++
		most = max(most, len(in))
	}
	return n, most
}
