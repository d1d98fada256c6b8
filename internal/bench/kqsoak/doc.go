// Package kqsoak runs a system of real processes under random faults from outside
// and checks its promises by what callers, targets and operators see.
//
// The processes are those of scripts/fleet: it starts again what ends. The ledger
// that judges holds no clock or socket.
package kqsoak
