package kqpass

// Names are the header fields by which callers, this system and targets
// understand each other on a route.
type Names struct {
	ID       string // of the request, echoed by the target
	Deadline string // milliseconds that the caller waits
	Seal     string // by which a target vouches for its answer
	Target   string // the target that a request is meant for
	Load     string // running, waiting, slots and percent of the usual time, from a target
	NotRun   string // a target's word that it did not run the request
}

// OwnNames are the names of the product's own interface.
var OwnNames = Names{
	ID: "Kumquat-Call", Deadline: "Kumquat-Deadline", Seal: "Kumquat-Seal", Target: "Kumquat-Target",
	Load: "Kumquat-Load", NotRun: "Kumquat-Not-Run",
}
