// Package kqguard lets the call of one Idempotency-Key run at most once over
// all entry hosts.
//
// Each key has three guards, entry hosts chosen by rendezvous hashing over the
// host list in force. A call is sent only after a majority of its guards holds
// its claim, and a guard holds one claim for a key. A guard that restarted
// with empty memory answers nothing until it has copied the claims of all
// other hosts, or until every claim that it may have lost is past its time.
package kqguard
