// Package kqfake has fakes of disk and clock for tests: a disk that loses unsynced
// changes at random in a crash, and a clock that tests advance.
package kqfake
