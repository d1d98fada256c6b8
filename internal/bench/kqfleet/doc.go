// Package kqfleet runs a whole small system in one process for experiments:
// control hosts, entry hosts and stand-in targets on loopback.
package kqfleet
