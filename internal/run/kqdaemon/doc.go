// Package kqdaemon wires the parts of one host by its settings.
package kqdaemon
