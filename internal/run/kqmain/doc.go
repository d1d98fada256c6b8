// Package kqmain is the command line of the daemon.
package kqmain
