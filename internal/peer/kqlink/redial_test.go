package kqlink

import (
	"cmp"
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
)

// TestRedialDelay: when the whole cluster lost power, entry hosts may start
// before the control hosts and must connect as soon as those are up.
func TestRedialDelay(t *testing.T) {
	const hasLink = -1
	ms := func(list ...int) (out []time.Duration) {
		for _, n := range list {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	for _, c := range []struct {
		name        string
		withoutLink []time.Duration
		want        []time.Duration
	}{
		{"others are linked", []time.Duration{hasLink, hasLink, hasLink, hasLink, hasLink, hasLink}, ms(100, 200, 400, 800, 1000, 1000)},
		{"a start of all hosts", ms(0, 50, 100, 400, 900, 5000), ms(50, 50, 50, 50, 50, 50)},
		{"alone for long", ms(9990, 10010, 10200, 10600), ms(50, 100, 200, 400)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r redialBackoff
			var got []time.Duration
			for _, withoutLink := range c.withoutLink {
				got = append(got, r.next(withoutLink))
			}
			if diff := gocmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestDialStaggered: packets to a peer that is powered off are lost, and it may be
// up a moment later; a distant peer needs a long attempt.
func TestDialStaggered(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name           string
		startingUp     bool
		reachableAfter time.Duration // the peer answers from this time on
		dialTime       time.Duration // duration of a successful attempt
		maxElapsed     time.Duration // until a connection is open, 0: it fails
	}{
		{"there at once", true, 0, ms, ms},
		{"power comes back", true, 210 * ms, ms, 251 * ms},
		{"far away", true, 0, 300 * ms, 300 * ms},
		{"never there", true, time.Hour, ms, 0},
		{"no start: one try", false, 100 * ms, ms, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					dialTime := c.dialTime
					if time.Since(began) < c.reachableAfter {
						dialTime = time.Hour // the packet is lost
					}
					select {
					case <-time.After(dialTime):
						conn, other := net.Pipe()
						other.Close()
						return conn, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				conn, err := dialStaggered(t.Context(), dial, "", c.startingUp)
				if err == nil {
					conn.Close()
				}
				took := time.Since(began)
				if (err == nil) != (c.maxElapsed > 0) || took > cmp.Or(c.maxElapsed, dialTimeout) {
					t.Fatalf("after %v: %v", took, err)
				}
			})
		})
	}
}
