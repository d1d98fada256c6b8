// Package kqcontrol runs the replica of one control host: it feeds the reducer
// of kqreplica, carries out its effects in order, and answers those who wait.
package kqcontrol
