package kqheader

import "net/http"

// MaxFields is how many header fields a request or response may have: over twice what common
// servers allow. A field of five bytes takes some 200 in memory, so that the size of a head
// alone does not bound what it takes.
const MaxFields = 256

// TooMany reports whether the header has more than MaxFields fields.
func TooMany(h http.Header) bool {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n > MaxFields
}
