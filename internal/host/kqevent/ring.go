package kqevent

// ring keeps the newest values up to a fixed number; it grows as they come.
type ring[T any] struct {
	list []T
	size int
	next int // place of the oldest value, once the ring is full
}

func newRing[T any](size int) *ring[T] {
	return &ring[T]{size: size}
}

func (r *ring[T]) push(v T) {
	if len(r.list) < r.size {
		r.list = append(r.list, v)
		return
	}
	r.list[r.next] = v
	r.next = (r.next + 1) % r.size
}

// all returns the values, oldest first.
func (r *ring[T]) all() []T {
	out := make([]T, 0, len(r.list))
	out = append(out, r.list[r.next:]...)
	return append(out, r.list[:r.next]...)
}
