// Package kqrelay is the baseline of what relaying a call costs: a bare relay
// by the standard HTTP client and server, without any decision.
package kqrelay
