// Package kqidempotency makes a call with an Idempotency-Key run at most once.
//
// Each key has a few guards: entry hosts that store who claimed the key. Before
// such a call is sent, this host claims its key at a majority of the key's
// guards. The package also runs the guard of this host, which answers the
// claims of other entry hosts.
package kqidempotency
