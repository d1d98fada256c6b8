// Package kqcontract holds the contract of an owner, its validation, and the
// deterministic state machine that the replicated log drives.
package kqcontract
