package kqevent

// ring keeps the newest values up to a fixed number.
type ring[T any] struct {
	list []T
	next int
	full bool
}

func newRing[T any](size int) *ring[T] {
	return &ring[T]{list: make([]T, size)}
}

func (r *ring[T]) push(v T) {
	r.list[r.next] = v
	r.next++
	if r.next == len(r.list) {
		r.next, r.full = 0, true
	}
}

// all returns the values, oldest first.
func (r *ring[T]) all() []T {
	if !r.full {
		return append([]T(nil), r.list[:r.next]...)
	}
	out := make([]T, 0, len(r.list))
	out = append(out, r.list[r.next:]...)
	return append(out, r.list[:r.next]...)
}
