// Package kqevent keeps the events of one host for the time line over all
// processes, stamped with hybrid logical time so that causes stand before
// effects also where clocks differ.
package kqevent
