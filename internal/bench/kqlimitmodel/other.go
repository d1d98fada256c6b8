package kqlimitmodel

import (
	"math"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"
)

// leaseTime is how long the ways below wait before another host may count for one that is gone.
const leaseTime = 2 * time.Second

// bucket is a token bucket of the ways below.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(rate, depth float64, now time.Time) bool {
	b.tokens, b.at = min(b.tokens+max(now.Sub(b.at), 0).Seconds()*rate, depth), now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// extraDepth is the depth of a counter on top of the burst: the sum of what the buckets of
// shares have.
const extraDepth = 11

type ownerHost struct{ owner, host int }

// counters has one control host count each owner's requests. Another one takes over leaseTime
// after the first is gone.
type counters struct {
	w             *world
	hosts, voters int
	owners        []kqroutes.Owner
	buckets       []bucket
	holder        []int
	lost          []time.Time // when the holder was lost
	messages      int
}

func newCounters(w *world, hosts, voters int, owners []kqroutes.Owner) *counters {
	c := &counters{w: w, hosts: hosts, voters: voters, owners: owners, buckets: make([]bucket, len(owners)), lost: make([]time.Time, len(owners))}
	for o := range owners {
		c.holder = append(c.holder, hosts+o%voters)
		c.buckets[o] = bucket{1, w.now}
	}
	var check func()
	check = func() {
		for o := range owners {
			c.check(o)
		}
		w.after(100*time.Millisecond, check)
	}
	check()
	return c
}

func (c *counters) check(o int) {
	switch gone := c.w.nodes[c.holder[o]].down; {
	case !gone:
		c.lost[o] = time.Time{}
	case c.lost[o].IsZero():
		c.lost[o] = c.w.now
	case c.w.now.Sub(c.lost[o]) > leaseTime:
		c.holder[o] = c.hosts + (c.holder[o]-c.hosts+1)%c.voters
		c.buckets[o] = bucket{1, c.w.now}
	}
}

func (c *counters) take(h, o int, decided func(bool, time.Duration, kqtokens.Token)) {
	c.messages++
	to, done := c.holder[o], false
	finish := func(ok bool) {
		if !done {
			done = true
			decided(ok, time.Duration(c.w.rng.Float64()*float64(time.Second)), kqtokens.Token{Sent: c.w.now})
		}
	}
	c.w.send(h, to, func() {
		ok := c.buckets[o].take(c.owners[o].Rate, c.owners[o].Burst+extraDepth, c.w.now)
		c.w.send(to, h, func() { finish(ok) })
	})
	c.w.on(h, kqtokens.AnswerTimeout, func() { finish(false) })
}

func (c *counters) restart(n int, d time.Duration) {
	c.w.restart(n, d, func() {
		for o, holder := range c.holder {
			if holder == n {
				c.buckets[o] = bucket{1, c.w.now}
			}
		}
	})
}

func (c *counters) sent() int { return c.messages }

// fractions gives each entry host a part of every limit, by its demand in the last seconds.
type fractions struct {
	w        *world
	hosts    int
	owners   []kqroutes.Owner
	demand   [][]float64 // by owner and host, decaying
	part     [][]float64
	heard    []time.Time // when each host last got its parts
	buckets  map[ownerHost]*bucket
	messages int
}

const (
	demandDecay = 0.75 // of the demand each second
	evenShare   = 0.1  // of each limit, divided evenly
)

func newFractions(w *world, hosts int, owners []kqroutes.Owner) *fractions {
	f := &fractions{w: w, hosts: hosts, owners: owners, heard: make([]time.Time, hosts), buckets: map[ownerHost]*bucket{}}
	for range owners {
		f.demand, f.part = append(f.demand, make([]float64, hosts)), append(f.part, make([]float64, hosts))
	}
	var divide func()
	divide = func() {
		f.divide()
		w.after(time.Second, divide)
	}
	divide()
	return f
}

func (f *fractions) divide() {
	allocator := f.hosts
	for o := range f.owners {
		sum := 0.0
		for _, d := range f.demand[o] {
			sum += d
		}
		for h := range f.hosts {
			f.part[o][h] = evenShare / float64(f.hosts)
			if sum > 0 && !f.w.cut(h, allocator) {
				f.part[o][h] += (1 - evenShare) * f.demand[o][h] / sum
			}
			f.demand[o][h] *= demandDecay
		}
	}
	for h := range f.hosts {
		if !f.w.cut(h, allocator) && !f.w.nodes[allocator].down {
			f.messages++
			f.heard[h] = f.w.now
		}
	}
}

func (f *fractions) take(h, o int, decided func(bool, time.Duration, kqtokens.Token)) {
	f.demand[o][h]++
	part := f.part[o][h]
	if f.w.now.Sub(f.heard[h]) > leaseTime {
		part = evenShare / float64(f.hosts)
	}
	b := f.buckets[ownerHost{o, h}]
	if b == nil {
		b = &bucket{1, f.w.now}
		f.buckets[ownerHost{o, h}] = b
	}
	ok := b.take(f.owners[o].Rate*part, f.owners[o].Burst*part+1, f.w.now)
	decided(ok, time.Duration(f.w.rng.Float64()*float64(time.Second)), kqtokens.Token{Sent: f.w.now})
}

func (f *fractions) restart(n int, d time.Duration) {
	f.w.restart(n, d, func() {
		for o := range f.owners {
			if n == f.hosts {
				clear(f.demand[o])
			}
			delete(f.buckets, ownerHost{o, n})
		}
	})
}

func (f *fractions) sent() int { return f.messages }

// reports has each entry host count, and tell a control host every reportEvery, which tells all
// hosts the sum of the last window.
type reports struct {
	w        *world
	p        kqtokens.Params
	hosts    int
	owners   []kqroutes.Owner
	known    [][]float64       // by host and owner: requests of the last window that the host knows of
	fresh    map[ownerHost]int // requests that were not reported
	window   [][]float64       // by report and owner: what was reported
	messages int
}

const reportEvery = 250 * time.Millisecond

func newReports(w *world, p kqtokens.Params, hosts int, owners []kqroutes.Owner) *reports {
	r := &reports{w: w, p: p, hosts: hosts, owners: owners, fresh: map[ownerHost]int{}}
	for range hosts {
		r.known = append(r.known, make([]float64, len(owners)))
	}
	var report func()
	report = func() {
		r.report()
		w.after(reportEvery, report)
	}
	report()
	return r
}

func (r *reports) report() {
	collector := r.hosts
	now := make([]float64, len(r.owners))
	reported := map[int]bool{}
	for k, n := range r.fresh {
		if !r.w.cut(k.host, collector) && !r.w.nodes[collector].down {
			now[k.owner] += float64(n)
			reported[k.host] = true
			delete(r.fresh, k)
		}
	}
	r.messages += len(reported)
	r.window = append(r.window, now)
	if keep := int(r.p.Window / reportEvery); len(r.window) > keep {
		r.window = r.window[len(r.window)-keep:]
	}
	sum := make([]float64, len(r.owners))
	for _, list := range r.window {
		for o, n := range list {
			sum[o] += n
		}
	}
	for h := range r.hosts {
		if !r.w.cut(h, collector) && !r.w.nodes[collector].down && !r.w.nodes[h].down {
			copy(r.known[h], sum)
			r.messages++
		}
	}
}

func (r *reports) take(h, o int, decided func(bool, time.Duration, kqtokens.Token)) {
	limit := r.owners[o].Rate*r.p.Window.Seconds() + r.owners[o].Burst
	ok := r.known[h][o]+float64(r.fresh[ownerHost{o, h}]) < math.Floor(limit)
	if ok {
		r.fresh[ownerHost{o, h}]++
	}
	decided(ok, time.Duration(r.w.rng.Float64()*float64(time.Second)), kqtokens.Token{Sent: r.w.now})
}

func (r *reports) restart(n int, d time.Duration) {
	r.w.restart(n, d, func() {
		if n == r.hosts {
			r.window = nil
		}
		if n >= r.hosts {
			return
		}
		clear(r.known[n])
		for o := range r.owners {
			delete(r.fresh, ownerHost{o, n})
		}
	})
}

func (r *reports) sent() int { return r.messages }
