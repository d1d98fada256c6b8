// Package kqwire is a stand-in of the network between an entry host and a
// target: it passes connections on, and can let the open ones go silent for
// good while new ones work.
package kqwire
