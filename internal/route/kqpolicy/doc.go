// Package kqpolicy holds the routing policies: the one in use and the
// baselines that it is measured against.
package kqpolicy
