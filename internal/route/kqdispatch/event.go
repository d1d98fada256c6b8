package kqdispatch

import (
	"time"

	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqcontract"
)

// Call is one call of a caller.
type Call struct {
	ID         uint64
	Owner      string
	Service    string
	Idempotent bool
	Deadline   time.Time
	Retries    int // extra sends that the caller's own caller still allows
	Depth      int // calls above this one
}

// Outcome says how an attempt ended up to its first answer byte.
type Outcome string

// Outcomes of an attempt.
const (
	Answered      Outcome = "answered"  // an answer that is the caller's
	Failed        Outcome = "failed"    // the target answered with a server error
	Refused       Outcome = "refused"   // the target says that it did not run
	Unsent        Outcome = "unsent"    // no byte can have reached the target
	PoolExhausted Outcome = "crowded"   // all connections from here are in use: unsent, and no fault of the target
	NoAnswer      Outcome = "broken"    // no answer, and it may have run
	Cancelled     Outcome = "cancelled" // given up from here
)

// Event is an input of the Dispatch.
type Event interface{ dispatchEvent() }

// Arrive is a new call.
type CallArrived struct{ Call Call }

// Replied is the first answer, or the failure, of an attempt.
type AttemptReplied struct {
	Attempt uint64
	Outcome Outcome
	Load    Load
}

// Load is what a target said of itself on an answer; Slots 0 means nothing.
type Load struct {
	Busy  int
	Slots int
}

// Ended says that an attempt holds its target no longer.
type AttemptEnded struct{ Attempt uint64 }

// Leave says that the call is over for its caller.
type CallClosed struct{ ID uint64 }

// Tick passes time.
type Tick struct{}

// Updated brings the new facts of a target.
type TargetUpdated struct{ Record kqdirectory.Record }

// Reported brings a load that a target announced.
type LoadReported struct{ Record kqdirectory.Record }

// Granted brings the limits of one owner's service on this host.
type LimitsGranted struct {
	Owner   string
	Service kqcontract.Service
	Share   Share
}

// Share is the part of a contract's limits that this host may use now.
type Share struct {
	Rate   float64 // calls a second
	Burst  int
	Active int
	Queue  int
}

// Revoked says that an owner's service is in no contract any more.
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

// Reason says why a call was refused or failed, in one word.
type Reason string

// Reasons.
const (
	ReasonRate     Reason = "rate"     // over the owner's rate
	ReasonActive   Reason = "active"   // over the owner's calls in progress and queue
	ReasonQueue    Reason = "queue"    // all targets are busy and the queue is full
	ReasonDeadline Reason = "deadline" // cannot finish in time
	ReasonTarget   Reason = "target"   // no target can take it
	ReasonUnknown  Reason = "unknown"  // owner or service without a contract
	ReasonNoAnswer Reason = "broken"   // sent, and no answer came
)

// Effect is an output of the Dispatch.
type Effect interface {
	dispatchEffect()
	// Call returns the call that the effect is for.
	Call() uint64
}

// Start sends one attempt to a target.
type Start struct {
	ID      uint64
	Attempt uint64
	Target  kqdirectory.Record
	Retries int // extra sends that calls below may still make
	Hedge   bool
	Number  int // 1 for the first send
}

// Cancel gives an attempt up.
type Cancel struct {
	ID      uint64
	Attempt uint64
}

// Deliver passes the attempt's answer to the caller.
type Deliver struct {
	ID      uint64
	Attempt uint64
}

// Refuse answers the caller: the call certainly did not run.
type Refuse struct {
	ID     uint64
	Reason Reason
	Wait   time.Duration // until a repeat may succeed
}

// Fail answers the caller: the call may have run.
type Fail struct {
	ID     uint64
	Reason Reason
}

// Ejected says that an owner's calls avoid a target until a time.
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
