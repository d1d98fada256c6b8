package kqproxy

// Names are the header fields by which callers, this system and targets
// understand each other on a route.
type HeaderNames struct {
	RequestID   string // of the request, echoed by the target
	Deadline    string // milliseconds that the caller waits
	Seal        string // by which a target vouches for its answer
	Target      string // the target that a request is meant for
	Load        string // running, waiting, slots and percent of the usual time, from a target
	NotExecuted string // a target's word that it did not run the request
}

// OwnNames are the names of the product's own interface.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Kumquat-Call", Deadline: "Kumquat-Deadline", Seal: "Kumquat-Seal", Target: "Kumquat-Target",
	Load: "Kumquat-Load", NotExecuted: "Kumquat-Not-Run",
}
