package kqselection

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestKnee: the burst meets targets of which the last slots cost nothing on some
// days, and slow all that runs on others. Which it is shows within some dozen
// requests that find no room, and is not forgotten by single late answers.
func TestSaturation(t *testing.T) {
	const spread = 0.3 // of work, as a standard deviation of its logarithm
	for _, c := range []struct {
		name  string
		real  float64 // how many times slower nearly full targets are
		share float64
		most  int // nearly full starts until that is known for good, 0: not asked
	}{
		{"no knee", 1.0, 1, 20},
		{"a slight one", 1.1, 1, 0},
		{"a steep one", 1.7, saturationThreshold, 0},
		{"a very steep one", 2.5, saturationThreshold, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			wrong, late := 0, 0
			for seed := range uint64(200) {
				rng := rand.New(rand.NewPCG(seed, 1))
				k, known := &Saturation{}, 0
				for i := range 300 {
					if k.UsableShare() != c.share {
						known = i + 1
					}
					k.Record(c.real * math.Exp(spread*rng.NormFloat64()))
				}
				if k.UsableShare() != c.share {
					wrong++
				}
				if c.most > 0 && known > c.most {
					late++
				}
			}
			if wrong > 10 || late > 10 { // one in twenty
				t.Errorf("of 200: wrong in the end %d, known late %d", wrong, late)
			}
		})
	}
}

// TestKneeIsTriedSeldom: where nothing is known some of the requests that find
// no room start all the same; later hardly any.
func TestSaturationIsExploredSeldom(t *testing.T) {
	k := &Saturation{}
	tries := func() (n int) {
		for range 640 {
			if k.Explore() {
				n++
			}
		}
		return n
	}
	if n := tries(); n != 640/exploreEvery {
		t.Errorf("%d tries while nothing is known", n)
	}
	for range learnedAnswers {
		k.Record(1.7)
	}
	if n := tries(); n != 640/exploreEveryLearned {
		t.Errorf("%d tries later", n)
	}
}

// TestRoomWithoutKnee: six slots are six where filling them costs nothing.
func TestHeadroomWithoutSaturation(t *testing.T) {
	now := time.Unix(0, 0)
	x := Target{Slots: 6, LastLoad: Sample{Running: 4, Slots: 6, Slowdown: 1, At: now}, Saturation: &Saturation{}}
	if x.Headroom(now, true) != 0 || !x.HasFreeSlot(now) || !x.NearlyFull() {
		t.Fatalf("room %d, spare %v, nearly full %v before anything is known", x.Headroom(now, true), x.HasFreeSlot(now), x.NearlyFull())
	}
	for range 20 {
		x.Saturation.Record(1)
	}
	if x.Headroom(now, true) != 2 {
		t.Fatalf("room %d of 6 with 4 running", x.Headroom(now, true))
	}
	x.LastLoad.Running = 6
	if x.Headroom(now, true) != 0 || x.HasFreeSlot(now) || x.NearlyFull() {
		t.Fatal("a full target has room")
	}
}
