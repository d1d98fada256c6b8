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

// TestRedial: after a power loss of everything entry hosts start before the
// control hosts do, and must find them at once when they come.
func TestRedialDelay(t *testing.T) {
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
			var r redialBackoff
			var got []time.Duration
			for _, alone := range c.alone {
				got = append(got, r.next(alone))
			}
			if diff := gocmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestReach: a peer without power swallows the first packets and may be there a
// moment later; a peer that is far away needs a long try.
func TestDialStaggered(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		started bool
		there   time.Duration // from when on the peer answers, from the start
		takes   time.Duration // a try that it answers
		most    time.Duration // until there is a connection, 0: none
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
				connect := func(ctx context.Context, _, _ string) (net.Conn, error) {
					takes := c.takes
					if time.Since(began) < c.there {
						takes = time.Hour // the packet is lost
					}
					select {
					case <-time.After(takes):
						conn, other := net.Pipe()
						other.Close()
						return conn, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				conn, err := dialStaggered(t.Context(), connect, "", c.started)
				if err == nil {
					conn.Close()
				}
				took := time.Since(began)
				if (err == nil) != (c.most > 0) || took > cmp.Or(c.most, dialTimeout) {
					t.Fatalf("after %v: %v", took, err)
				}
			})
		})
	}
}
