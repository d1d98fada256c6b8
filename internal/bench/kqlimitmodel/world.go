package kqlimitmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// delay is the time of one message between two hosts.
const delay = 450 * time.Microsecond

// world is virtual time, and hosts that exchange messages in it.
type world struct {
	now   time.Time
	rng   *rand.Rand
	queue events
	seq   uint64
	nodes []node
	cut   func(a, b int) bool // whether the link is broken now
}

// node is one host.
type node struct {
	down   bool
	starts int       // what was planned before the last start does not happen
	frozen time.Time // until when the host does nothing
}

type event struct {
	at  time.Time
	seq uint64 // of two at one moment the one that was planned first comes first
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(nodes int, seed uint64) *world {
	return &world{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), nodes: make([]node, nodes),
		cut: func(int, int) bool { return false },
	}
}

// after plans do, regardless of any host.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

// on plans do on a host: it happens once the host is not frozen, and not if it restarted.
func (w *world) on(n int, d time.Duration, do func()) {
	starts := w.nodes[n].starts
	w.after(d, func() {
		h := &w.nodes[n]
		switch {
		case h.down || h.starts != starts:
		case h.frozen.After(w.now):
			w.on(n, h.frozen.Sub(w.now), do)
		default:
			do()
		}
	})
}

// send delivers a message, which calls do on the other host, unless the link is cut.
func (w *world) send(a, b int, do func()) {
	if w.cut(a, b) {
		return
	}
	w.on(b, delay, func() {
		if !w.cut(a, b) {
			do()
		}
	})
}

// every calls do regularly on a host until it restarts.
func (w *world) every(n int, d time.Duration, do func()) {
	w.on(n, d, func() {
		do()
		w.every(n, d, do)
	})
}

// restart ends a host and starts it later, empty.
func (w *world) restart(n int, d time.Duration, start func()) {
	w.nodes[n].down = true
	w.nodes[n].starts++
	w.after(d, func() {
		w.nodes[n].down = false
		start()
	})
}

func (w *world) freeze(n int, d time.Duration) { w.nodes[n].frozen = w.now.Add(d) }

// run plays everything that is planned until the end.
func (w *world) run(end time.Time) {
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}
