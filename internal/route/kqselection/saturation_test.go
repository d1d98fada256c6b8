package kqselection

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSaturation plays services whose targets can fill all slots at no cost, and others
// whose targets slow down all requests when nearly full. The difference must be learned
// within some dozen requests without headroom, and single late answers must not change it.
func TestSaturation(t *testing.T) {
	const spread = 0.3 // of service times, as the standard deviation of their logarithm
	for _, c := range []struct {
		name  string
		real  float64 // how many times slower nearly full targets are
		share float64
		most  int // nearly full starts after which the share must stay right, 0: not checked
	}{
		{"no saturation", 1.0, 1, 20},
		{"slight saturation", 1.1, 1, 0},
		{"strong saturation", 1.7, saturationThreshold, 0},
		{"very strong saturation", 2.5, saturationThreshold, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			wrong, late := 0, 0
			for seed := range uint64(200) {
				rng := rand.New(rand.NewPCG(seed, 1))
				s, known := &Saturation{}, 0
				for i := range 300 {
					if s.UsableShare() != c.share {
						known = i + 1
					}
					s.Record(c.real * math.Exp(spread*rng.NormFloat64()))
				}
				if s.UsableShare() != c.share {
					wrong++
				}
				if c.most > 0 && known > c.most {
					late++
				}
			}
			if wrong > 10 || late > 10 { // one in twenty
				t.Errorf("of 200 runs: %d with the wrong share at the end, %d learned too late", wrong, late)
			}
		})
	}
}

// TestSaturationIsExploredSeldom checks that before the slowdown is learned some requests
// without headroom start nevertheless, and later few do.
func TestSaturationIsExploredSeldom(t *testing.T) {
	s := &Saturation{}
	tries := func() (n int) {
		for range 640 {
			if s.Explore() {
				n++
			}
		}
		return n
	}
	if n := tries(); n != 640/exploreEvery {
		t.Errorf("%d explorations while nothing is known", n)
	}
	for range learnedAnswers {
		s.Record(1.7)
	}
	if n := tries(); n != 640/exploreEveryLearned {
		t.Errorf("%d explorations after the slowdown is learned", n)
	}
}

// TestHeadroomWithoutSaturation checks that all slots are used if filling them costs nothing.
func TestHeadroomWithoutSaturation(t *testing.T) {
	now := time.Unix(0, 0)
	x := Target{Slots: 6, LastLoad: Sample{Running: 4, Slots: 6, Slowdown: 1, At: now}, Saturation: &Saturation{}}
	if x.Headroom(now, true) != 0 || !x.HasFreeSlot(now) || !x.NearlyFull() {
		t.Fatalf("headroom %d, free slot %v, nearly full %v before anything is known", x.Headroom(now, true), x.HasFreeSlot(now), x.NearlyFull())
	}
	for range 20 {
		x.Saturation.Record(1)
	}
	if x.Headroom(now, true) != 2 {
		t.Fatalf("headroom %d of 6 with 4 running", x.Headroom(now, true))
	}
	x.LastLoad.Running = 6
	if x.Headroom(now, true) != 0 || x.HasFreeSlot(now) || x.NearlyFull() {
		t.Fatal("a full target has headroom, a free slot or is nearly full")
	}
}

// TestUsableSlotsOfTwo guards against targets of two slots of which only one is used until
// the slowdown is learned: a host that sees a request every two seconds learns it late.
func TestUsableSlotsOfTwo(t *testing.T) {
	s := &Saturation{}
	for slots, want := range map[int]int{1: 1, 2: 2, 4: 3, 6: 4} {
		if got := s.UsableSlots(slots); got != want {
			t.Errorf("%d of %d slots are used before any answer, want %d", got, slots, want)
		}
	}
	for range 200 {
		s.Record(2.5)
	}
	if got := s.UsableSlots(2); got != 1 {
		t.Errorf("%d of 2 slots are used although the second one halves the throughput", got)
	}
}
