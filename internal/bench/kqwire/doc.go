// Package kqwire simulates the network between an entry host and a target with a
// TCP proxy. It can discard all data on the open connections without closing them,
// while new connections work.
package kqwire
