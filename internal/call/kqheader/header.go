package kqheader

// Names of header fields.
const (
	Owner          = "Kumquat-Owner"
	Service        = "Kumquat-Service"
	Deadline       = "Kumquat-Deadline" // time that the caller still waits, in milliseconds
	Run            = "Kumquat-Run"
	Load           = "Kumquat-Load"    // busy slots and all slots of a target, as "busy/slots"
	Retries        = "Kumquat-Retries" // retries that nested calls may still make
	Depth          = "Kumquat-Depth"   // number of calls that this call is nested in
	CallID         = "Kumquat-Call"    // ID of the call in the event time line
	Replayed       = "Kumquat-Kept"    // "yes" on a stored response that is returned again for the same idempotency key
	IdempotencyKey = "Idempotency-Key"
)

// Values of Run: whether a call that the entry host answers itself was executed.
const (
	RunNo      = "no"      // was not executed
	RunUnknown = "unknown" // may have been executed
)
