// Package kqkeyed runs the guard of this host and claims keys at the guards of
// others before a call with an Idempotency-Key is sent.
package kqidempotency
