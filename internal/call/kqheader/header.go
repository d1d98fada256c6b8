package kqheader

// Header fields.
const (
	Owner          = "Kumquat-Owner"
	Service        = "Kumquat-Service"
	Deadline       = "Kumquat-Deadline" // milliseconds left
	Run            = "Kumquat-Run"
	Load           = "Kumquat-Load"    // busy/slots of a target
	Retries        = "Kumquat-Retries" // extra sends that calls below may make
	Depth          = "Kumquat-Depth"   // calls above this one
	CallID         = "Kumquat-Call"    // identity of the call for the time line
	Replayed       = "Kumquat-Kept"    // "yes" on a kept answer that is given again
	IdempotencyKey = "Idempotency-Key"
)

// Values of Run: what an answer that the system makes says of the call.
const (
	RunNo      = "no"      // certainly not run
	RunUnknown = "unknown" // may have run
)
