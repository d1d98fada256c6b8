// Package kqheader defines the names and values of the HTTP header fields that callers, entry
// hosts and targets exchange, and how the path of a request is read and passed on.
package kqheader
