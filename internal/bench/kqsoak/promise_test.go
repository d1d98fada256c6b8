package kqsoak

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPromises guards against a scarce run that cannot fail: each broken promise must be
// recorded, and a kept one must not.
func TestPromises(t *testing.T) {
	epoch := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	fixed := credential{owner: "thu", key: "k", end: math.MaxUint64}
	old := credential{owner: "xuan", key: "k", first: 1, end: 5}
	arrival := Arrival{ID: "a", Target: "t", Domain: "a", Owner: "thu", At: epoch}
	arrive := func(l *Ledger, change func(*Arrival)) {
		a := arrival
		change(&a)
		l.Received(a)
	}
	// run sends requests of thu at even intervals, all of which run.
	run := func(l *Ledger, n int, interval time.Duration) {
		for i := range n {
			id := string(rune('A' + i))
			l.SentWith(id, fixed, epoch)
			l.Ran(id, "t", at(time.Duration(i)*interval))
		}
	}
	cases := []struct {
		name string
		play func(l *Ledger)
		want Promise // broken, empty: none
	}{
		{"owner named", func(l *Ledger) { l.SentWith("a", fixed, epoch); l.Received(arrival) }, ""},
		{"claimed owner", func(l *Ledger) {
			l.SentWith("a", fixed, epoch)
			arrive(l, func(a *Arrival) { a.Owner = "claimed" })
		}, PromiseOwner},
		{"key passed on", func(l *Ledger) { l.SentWith("a", fixed, epoch); arrive(l, func(a *Arrival) { a.Key = "Bearer k" }) }, PromiseOwner},
		{"withdrawn long ago", func(l *Ledger) {
			l.SentWith("a", old, epoch)
			l.Accepted(5, at(-learnTime))
			arrive(l, func(a *Arrival) { a.Owner = "xuan" })
		}, PromiseWithdrawn},
		{"withdrawn just now", func(l *Ledger) {
			l.SentWith("a", old, epoch)
			l.Accepted(5, at(1-learnTime))
			arrive(l, func(a *Arrival) { a.Owner = "xuan" })
		}, ""},
		{"withdrawn, on a link that was cut", func(l *Ledger) {
			l.SentWith("a", old, epoch)
			l.Accepted(5, at(-learnTime))
			arrive(l, func(a *Arrival) { a.Owner, a.Late = "xuan", true })
		}, ""},
		{"withdrawn, while hosts may be behind", func(l *Ledger) {
			l.SentWith("a", old, epoch)
			l.Accepted(5, at(-learnTime))
			l.Disturbed(at(time.Second), true)
			arrive(l, func(a *Arrival) { a.Owner = "xuan" })
		}, ""},
		{"success with an old key", func(l *Ledger) {
			l.Accepted(5, at(-applyBound))
			l.SentWith("a", old, epoch)
			l.Answered("a", 502, true, true)
		}, PromiseWithdrawn},
		{"401 for a valid key", func(l *Ledger) { l.SentWith("a", fixed, epoch); l.Answered("a", 401, true, false) }, PromiseKey},
		{"401 for a key that is not yet everywhere", func(l *Ledger) {
			l.Accepted(1, at(1-applyBound))
			l.SentWith("a", old, epoch)
			l.Answered("a", 401, true, false)
		}, ""},
		{"401 for a key that is about to go", func(l *Ledger) {
			l.Accepted(1, at(-applyBound))
			l.Submitted(5)
			l.SentWith("a", old, epoch)
			l.Answered("a", 401, true, false)
		}, ""},
		{"within the limit", func(l *Ledger) { run(l, 24, 0) }, ""},
		{"beyond the limit at once", func(l *Ledger) { run(l, 25, 0) }, PromiseLimit},
		{"at the rate for long", func(l *Ledger) { run(l, 300, time.Second/8) }, ""},
		{"beyond the rate for long", func(l *Ledger) { run(l, 54, time.Second/16) }, PromiseLimit},
		{"evacuated", func(l *Ledger) { l.Evacuated("a", at(-drainBound-1)); l.Received(arrival) }, PromiseEvacuated},
		{"evacuated just now", func(l *Ledger) { l.Evacuated("a", at(-drainBound)); l.Received(arrival) }, ""},
		{"another domain is evacuated", func(l *Ledger) { l.Evacuated("b", at(-drainBound-1)); l.Received(arrival) }, ""},
		{"evacuated and withdrawn", func(l *Ledger) { l.Evacuated("a", at(-drainBound-1)); l.Restored("a"); l.Received(arrival) }, ""},
		{"cold within its rate", func(l *Ledger) {
			for i := range 22 {
				arrive(l, func(a *Arrival) { a.Cold, a.At = true, at(time.Duration(i)*time.Second/11) })
			}
		}, ""},
		{"cold beyond its rate", func(l *Ledger) {
			for i := range 12 {
				arrive(l, func(a *Arrival) { a.Cold, a.At = true, at(time.Duration(i)*time.Second/12) })
			}
		}, PromiseCold},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger()
			c.play(l)
			_, got := l.Result()
			switch {
			case c.want == "" && len(got) > 0, c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0], string(c.want))):
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}

// TestUncheckedPromise guards against a run that passes though it has tried nothing.
func TestUncheckedPromise(t *testing.T) {
	l := NewLedger()
	l.CheckPromises()
	if _, got := l.Result(); len(got) != len(promises)+1 {
		t.Errorf("%q", got)
	}
}

// TestDrawnKeys checks that what callers present is valid, or withdrawn, in exactly the
// versions of the routes that say so.
func TestDrawnKeys(t *testing.T) {
	var routes []string
	for v := range uint64(6 * keyLife) {
		routes = append(routes, string(Routes(v, true)))
	}
	for version := range uint64(4 * keyLife) {
		for range 50 {
			c := drawCredential(version)
			for i, doc := range routes {
				v := uint64(i)
				if has := strings.Contains(doc, `"`+c.key+`"`) && c.owner != ""; has != c.valid(v, v) {
					t.Fatalf("%+v in version %d: %t", c, v, has)
				}
			}
			if c.owner == "" && !c.withdrawn(0) {
				t.Fatalf("%+v", c)
			}
		}
	}
}

// TestScarceRound checks that all kinds of faults occur, that the first round checks
// evacuations and cold targets, and that no round delays what must arrive in time.
func TestScarceRound(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(500) {
		list := ScarceRound(rand.New(rand.NewPCG(seed, 1)), seed%2 == 0)
		if diff := cmp.Diff(list, ScarceRound(rand.New(rand.NewPCG(seed, 1)), seed%2 == 0)); diff != "" {
			t.Fatal(seed, diff)
		}
		late, leaving := false, false
		for _, f := range list {
			seen[f.Kind] = true
			late = late || holds(f.Kind) || delaysLeave(f.Kind)
			leaving = leaving || leaves(f.Kind)
		}
		if late && leaving || seed%2 == 0 && (list[0].Kind != Evacuate || list[1].Kind != TargetCools) {
			t.Fatalf("seed %d: %+v", seed, list)
		}
	}
	if len(seen) != len(faultKinds)+len(scarceKinds) {
		t.Errorf("kinds %v", seen)
	}
}
