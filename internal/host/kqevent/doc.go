// Package kqevent records the events of one host for the timeline of all hosts.
// Events carry hybrid logical timestamps, so that causes are ordered before their
// effects even if the clocks of hosts differ.
package kqevent
