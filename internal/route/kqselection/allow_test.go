package kqselection

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRestrictedWaiters guards against queued requests that are assigned a target which they
// do not allow, or that block others for which the target has room.
func TestRestrictedWaiters(t *testing.T) {
	for name, assign := range map[string]func(s *Selector, list []*Target){
		"a probe found room": func(s *Selector, list []*Target) { s.AssignQueued(list, map[*Target]bool{}, epoch) },
		"a target answered": func(s *Selector, list []*Target) {
			for _, x := range list {
				s.AssignHeadroom(x, epoch)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Selector{Rand: rand.New(rand.NewPCG(1, 1)), Saturation: &Saturation{}}
			east := &Target{ID: "east", Slots: 4, LastLoad: loadSample(0, 0, 1)}
			west := &Target{ID: "west", Slots: 4, LastLoad: loadSample(0, 0, 1)}
			onlyIn := func(want *Target) func(*Target) bool { return func(x *Target) bool { return x == want } }
			got := map[string]string{}
			enqueue := func(name string, priority int, allows func(*Target) bool) {
				w := &Waiter{
					Priority: priority, StartBy: epoch.Add(time.Second), GiveUpAt: epoch.Add(time.Second), Allows: allows,
					Assign: func(x *Target) { got[name] = x.ID },
				}
				if !s.Queue.Enqueue(w, epoch) {
					t.Fatal("the request was not queued")
				}
			}
			enqueue("north", 0, onlyIn(nil))
			enqueue("west", 0, onlyIn(west))
			enqueue("east", 0, onlyIn(east))
			if wanted := s.Queue.Wanted(); wanted == nil || !wanted(east) || wanted(&Target{}) {
				t.Error("the wanted targets are wrong")
			}
			enqueue("any", 1, nil)
			if s.Queue.Wanted() != nil {
				t.Error("not all targets are wanted although one request allows all")
			}
			assign(s, []*Target{east, west})
			if got["west"] != "west" || got["east"] != "east" || got["any"] == "" || len(got) != 3 {
				t.Errorf("assigned %v", got)
			}
			if s.Queue.Len() != 1 || east.InFlight+west.InFlight != 3 {
				t.Errorf("%d requests left, %d sends counted", s.Queue.Len(), east.InFlight+west.InFlight)
			}
		})
	}
}
