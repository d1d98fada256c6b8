// Package kqresolve chooses the entry hosts that a service's callers are sent to.
// It chooses few, so that each of them gets enough of the service's calls to know
// the load of its targets, and in at least two failure domains if possible.
package kqresolve
