package kqmodel

import (
	"container/heap"
	"time"
)

// clock is virtual time and what is to happen in it.
type clock struct {
	now   time.Time
	queue events
	seq   uint64
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

// after plans do.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now.Add(d), c.seq, do})
}

// run plays everything that is planned until the end.
func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}
