// Package kqlimitmodel compares ways to limit an owner's requests over all entry hosts, in
// virtual time and without a network.
package kqlimitmodel
