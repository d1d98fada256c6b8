// Package kqlog opens the structured log of a host.
package kqlog
