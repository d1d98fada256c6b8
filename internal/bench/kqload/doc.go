// Package kqload generates open-loop load: each call is due at a random time that
// does not depend on earlier answers. Latency counts from the due time, so that it
// includes delays of the load generator and of the system.
package kqload
