// Package kqfresh chooses among targets by what they said of their load a
// moment ago: load that shifts within milliseconds is known only to the target
// itself, and only for a moment, so a few are asked right before each send.
//
// It holds no clock, socket or goroutine and is not safe for concurrent use.
package kqselection
