// Package kqtarget is the stand-in of a target: a server with slots, a queue,
// service times, cold starts, drains and faults, which announces itself.
package kqtarget
