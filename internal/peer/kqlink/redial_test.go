package kqlink

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRedial: after a power loss of everything entry hosts start before the
// control hosts do, and must find them at once when they come.
func TestRedial(t *testing.T) {
	const linked = -1
	ms := func(list ...int) (out []time.Duration) {
		for _, n := range list {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	for _, c := range []struct {
		name  string
		alone []time.Duration
		want  []time.Duration
	}{
		{"others are linked", []time.Duration{linked, linked, linked, linked, linked, linked}, ms(100, 200, 400, 800, 1000, 1000)},
		{"a start of all hosts", ms(0, 50, 100, 400, 900, 5000), ms(50, 50, 50, 50, 50, 50)},
		{"alone for long", ms(9990, 10010, 10200, 10600), ms(50, 100, 200, 400)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r redial
			var got []time.Duration
			for _, alone := range c.alone {
				got = append(got, r.next(alone))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestTimeForATry: a peer without power swallows the first packet, and the try
// must end before the peer is back; a peer that is far away needs a long one.
func TestTimeForATry(t *testing.T) {
	for _, c := range []struct {
		alone time.Duration
		short int // of eight tries
	}{{0, 6}, {time.Second, 6}, {time.Minute, 0}, {-1, 0}} {
		var r redial
		short := 0
		for range 8 {
			if r.limit(c.alone) == loneDial {
				short++
			}
		}
		if short != c.short {
			t.Errorf("alone for %v: %d of 8 tries are short, want %d", c.alone, short, c.short)
		}
	}
}
