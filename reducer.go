package kq

import "time"

// Reducer is the shape of every part that decides: it changes its own state by
// one event and returns the effects to carry out, in order, as data.
//
// A Reducer holds no clock, goroutine, socket or file and is not safe for
// concurrent use; a runtime feeds it.
type Reducer[E, F any] interface {
	Reduce(now time.Time, ev E) []F
}
