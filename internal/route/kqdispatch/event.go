package kqdispatch

import (
	"time"

	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqcontract"
)

// Call is one call from a client.
type Call struct {
	ID         uint64
	Owner      string
	Service    string
	Idempotent bool
	Deadline   time.Time
	Retries    int // retries that the callers upstream still allow
	Depth      int // number of nested calls above this one
}

// Outcome is the result of an attempt up to the first byte of its answer.
type Outcome string

// Outcomes of an attempt.
const (
	Answered      Outcome = "answered"  // the target answered the call
	Failed        Outcome = "failed"    // the target answered with a server error
	Refused       Outcome = "refused"   // the target reports that the call did not run
	Unsent        Outcome = "unsent"    // no byte can have reached the target
	PoolExhausted Outcome = "crowded"   // all connections from this host are in use: unsent, and not the target's fault
	NoAnswer      Outcome = "broken"    // no answer; the call may have run
	Cancelled     Outcome = "cancelled" // cancelled by this host
)

// Event is an input of the Dispatch.
type Event interface{ dispatchEvent() }

// CallArrived reports a new call.
type CallArrived struct{ Call Call }

// AttemptReplied reports the answer or the failure of an attempt.
type AttemptReplied struct {
	Attempt uint64
	Outcome Outcome
	Load    Load
}

// Load is the load that a target reported with an answer; Slots is 0 if it reported none.
type Load struct {
	Busy  int
	Slots int
}

// AttemptEnded reports that an attempt no longer occupies a slot of its target.
type AttemptEnded struct{ Attempt uint64 }

// CallClosed reports that the call is over for its caller.
type CallClosed struct{ ID uint64 }

// Tick reports that TickInterval has passed.
type Tick struct{}

// TargetUpdated carries the new record of a target.
type TargetUpdated struct{ Record kqdirectory.Record }

// LoadReported carries a load that a target announced.
type LoadReported struct{ Record kqdirectory.Record }

// LimitsGranted sets the limits of one owner on one service on this host.
type LimitsGranted struct {
	Owner   string
	Service kqcontract.Service
	Share   Share
}

// Share is the part of a contract's limits that this host may use now: Burst in calls,
// Active as calls in flight, Queue as queued calls.
type Share struct {
	Rate   float64 // calls a second
	Burst  int
	Active int
	Queue  int
}

// LimitsRevoked reports that no contract covers the owner's use of the service any more.
type LimitsRevoked struct{ Owner, Service string }

func (CallArrived) dispatchEvent()    {}
func (AttemptReplied) dispatchEvent() {}
func (AttemptEnded) dispatchEvent()   {}
func (CallClosed) dispatchEvent()     {}
func (Tick) dispatchEvent()           {}
func (TargetUpdated) dispatchEvent()  {}
func (LoadReported) dispatchEvent()   {}
func (LimitsGranted) dispatchEvent()  {}
func (LimitsRevoked) dispatchEvent()  {}

// Reason is the one-word cause of a refused or failed call.
type Reason string

// Reasons for a refused or failed call.
const (
	ReasonRate     Reason = "rate"     // over the owner's rate
	ReasonActive   Reason = "active"   // over the owner's limits of calls in flight and queued
	ReasonQueue    Reason = "queue"    // all targets are busy and the queue is full
	ReasonDeadline Reason = "deadline" // cannot start before its deadline
	ReasonTarget   Reason = "target"   // no target accepts it
	ReasonUnknown  Reason = "unknown"  // owner or service without a contract
	ReasonNoAnswer Reason = "broken"   // sent without an answer
)

// Effect is an output of the Dispatch.
type Effect interface {
	dispatchEffect()
	// Call returns the call that the effect is for.
	Call() uint64
}

// Start orders one attempt to be sent to a target.
type Start struct {
	ID      uint64
	Attempt uint64
	Target  kqdirectory.Record
	Retries int // retries that nested calls may still make
	Hedge   bool
	Number  int // 1 for the first attempt
}

// Cancel orders an attempt to be cancelled.
type Cancel struct {
	ID      uint64
	Attempt uint64
}

// Deliver orders the attempt's answer to be passed to the caller.
type Deliver struct {
	ID      uint64
	Attempt uint64
}

// Refuse orders an answer to the caller that the call certainly did not run.
type Refuse struct {
	ID     uint64
	Reason Reason
	Wait   time.Duration // time until a retry by the caller may succeed
}

// Fail orders an answer to the caller that the call failed and may have run.
type Fail struct {
	ID     uint64
	Reason Reason
}

// TargetEjected reports that calls of an owner avoid a target until a time.
type TargetEjected struct {
	ID     uint64
	Owner  string
	Target kqdirectory.Key
	Until  time.Time
}

func (Start) dispatchEffect()         {}
func (Cancel) dispatchEffect()        {}
func (Deliver) dispatchEffect()       {}
func (Refuse) dispatchEffect()        {}
func (Fail) dispatchEffect()          {}
func (TargetEjected) dispatchEffect() {}

// Call returns the call that the effect is for.
func (e Start) Call() uint64 { return e.ID }

// Call returns the call that the effect is for.
func (e Cancel) Call() uint64 { return e.ID }

// Call returns the call that the effect is for.
func (e Deliver) Call() uint64 { return e.ID }

// Call returns the call that the effect is for.
func (e Refuse) Call() uint64 { return e.ID }

// Call returns the call that the effect is for.
func (e Fail) Call() uint64 { return e.ID }

// Call returns the call that the effect is for.
func (e TargetEjected) Call() uint64 { return e.ID }
