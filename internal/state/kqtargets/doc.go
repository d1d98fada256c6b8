// Package kqtargets is the replicated directory of targets. It holds the last
// announcement of each target, ordered by the target's start (boot) and sequence
// number.
package kqtargets
