package kq

import "time"

// Reducer is decision logic without side effects: it changes its own state by one
// event and returns the effects to carry out, in order, as data.
//
// A Reducer holds no clock, goroutine, socket or file and is not safe for
// concurrent use; a separate runtime passes it
// events and carries out its effects.
type Reducer[E, F any] interface {
	Reduce(now time.Time, ev E) []F
}
