// Package kqcontrol runs the replica of one control host: it passes events to the
// reducer of kqreplica, performs the returned effects in order, and answers pending
// proposals and reads.
package kqcontrol
