// Package kqtransport sends one attempt of a call to one target and reads the
// response, over its own pool of HTTP/1.1 connections.
//
// It never sends a request twice. The HTTP client of the standard library
// resends some requests by itself when a reused connection breaks, which would
// execute a call twice that must be executed at most once.
package kqtransport
