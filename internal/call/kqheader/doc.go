// Package kqheader defines the names and values of the HTTP header fields that
// callers, entry hosts and targets exchange.
package kqheader
