// Package kqshutdown decides which requests a host that shuts down still takes.
package kqshutdown
