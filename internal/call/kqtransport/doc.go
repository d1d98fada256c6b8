// Package kqforward sends one attempt of a call to one target and reads the
// answer, over its own pool of HTTP/1.1 connections.
//
// It never sends a request twice. The HTTP client of the standard library does
// so on its own when a reused connection breaks, which a call that must run at
// most once cannot bear.
package kqtransport
