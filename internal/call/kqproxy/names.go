package kqproxy

// HeaderNames are the names of the header fields that callers, entry hosts and
// targets exchange on a route.
type HeaderNames struct {
	RequestID   string // ID of the request, which the target repeats in its response
	Deadline    string // time that the caller still waits, in milliseconds
	Seal        string // mark by which a target confirms that the response is its own
	Target      string // ID of the target that the request is meant for
	Load        string // load of a target: running, waiting, slots, percentage of the usual service time
	NotExecuted string // set by a target that did not execute the request
	Instance    string // ID of the target in its answers to probes
	Leaving     string // 1 in the responses of a target that is shutting down
	Owner       string // name of the request's owner, set by the entry host
	Cold        string // milliseconds for which a target stays cold, in its answers to probes
	KeyScheme   string // scheme of Authorization with which callers present a key
}

// DefaultHeaderNames are the names that kumquatglade defines itself.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Kumquat-Call", Deadline: "Kumquat-Deadline", Seal: "Kumquat-Seal", Target: "Kumquat-Target",
	Load: "Kumquat-Load", NotExecuted: "Kumquat-Not-Run", Instance: "Kumquat-Instance", Leaving: "Kumquat-Leaving",
	Owner: "Kumquat-Owner", Cold: "Kumquat-Cold", KeyScheme: "Bearer",
}
