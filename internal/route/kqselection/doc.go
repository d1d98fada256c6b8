// Package kqselection selects the target of a request by the load that targets
// reported a moment ago. Load shifts within milliseconds and is known only to the
// target itself, so a few targets are probed right before each send.
//
// It holds no clock, socket or goroutine and is not safe for concurrent use.
package kqselection
