// Package kqcontract defines the contract of an owner, which states the owner's
// services and their limits, its validation, and the deterministic state machine
// to which the replicated log is applied.
package kqcontract
