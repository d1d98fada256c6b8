// Package kqcall serves the calls that arrive at an entry host. It checks each
// call, lets the dispatch reducer decide when and to which target it is sent,
// carries the decision out, and streams the target's response to the caller.
package kqcall
