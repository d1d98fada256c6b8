// Package kqsoak runs a system of real processes under randomly injected faults
// and checks its guarantees from what callers, targets and operators observe.
//
// The processes are those of scripts/fleet, which restarts every process that
// exits. The ledger that checks the guarantees uses no clock and no socket.
package kqsoak
