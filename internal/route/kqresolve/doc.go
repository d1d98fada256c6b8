// Package kqresolve chooses the entry hosts that a service's callers are sent
// to: few, so that each sees enough of the service to know its targets' load,
// and in at least two failure domains.
package kqresolve
