// Package kqguard ensures that the call of one idempotency key runs at most once
// across all entry hosts.
//
// Each key has three guards: entry hosts, chosen by rendezvous hashing over the
// host list in force, that store the key's claim. A call is sent only after a
// majority of the key's guards has granted its claim, and a guard grants a key to
// one call only. A guard that restarted with empty memory abstains until it has
// copied the claims of enough other hosts that no claim held by a majority can be
// missing, or until every claim that it may have lost has expired.
package kqguard
