// Package kqdaemon creates, connects, starts and stops the components of one host
// according to its settings.
package kqdaemon
