// Package kqaccount keeps each owner's account of what went wrong for its own
// callers, by cause, service, target and contract version.
package kqaccount
