// Package kqlistener accepts the connections of callers. It notices that a caller has
// left also while further requests wait behind the current one, lets the last response
// arrive before a connection is closed, and ends connections at a planned stop without
// losing a request that was read.
package kqlistener
