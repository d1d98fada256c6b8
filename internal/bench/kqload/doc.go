// Package kqload drives calls by open-loop arrival: each call is due at a time
// drawn beforehand, and its latency counts from then, also when the driver or
// the system is late.
package kqload
