// Package kqcontract defines the contract of an owner, its validation, and the
// deterministic state machine to which the replicated log is applied.
package kqcontract
