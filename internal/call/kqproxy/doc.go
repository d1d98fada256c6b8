// Package kqproxy forwards HTTP requests by the current routes: it finds the
// route, probes a few targets for their load, sends the request to the best one,
// and returns the complete response of that target or an error response.
package kqproxy
