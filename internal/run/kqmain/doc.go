// Package kqmain implements the command line of the daemon kumquatd.
package kqmain
