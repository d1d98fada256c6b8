// Package kqtargets is the replicated directory of targets: what each start
// (boot) of a target last said of itself, ordered by start and sequence.
package kqtargets
