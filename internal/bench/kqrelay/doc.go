// Package kqrelay is the baseline for the cost of relaying a call: an HTTP relay
// made of the standard library's client and server, without routing.
package kqrelay
