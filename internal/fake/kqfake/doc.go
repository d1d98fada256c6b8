// Package kqfake holds seeded fakes of disk and clock for tests: a disk that
// loses what was not synced, and a clock that moves only when told to.
package kqfake
