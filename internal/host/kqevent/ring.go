package kqevent

// ring keeps the newest values up to a fixed number; it grows as they come.
type ring[T any] struct {
	values   []T
	capacity int
	oldest   int // place of the oldest value, once the ring is full
}

func newRing[T any](size int) *ring[T] {
	return &ring[T]{capacity: size}
}

func (r *ring[T]) push(v T) {
	if len(r.values) < r.capacity {
		r.values = append(r.values, v)
		return
	}
	r.values[r.oldest] = v
	r.oldest = (r.oldest + 1) % r.capacity
}

// all returns the values, oldest first.
func (r *ring[T]) all() []T {
	out := make([]T, 0, len(r.values))
	out = append(out, r.values[r.oldest:]...)
	return append(out, r.values[:r.oldest]...)
}
