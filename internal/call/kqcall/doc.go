// Package kqcall serves callers: it feeds the reducer of kqdispatch with calls,
// carries out its effects by kqforward, and passes answers back whole.
package kqcall
