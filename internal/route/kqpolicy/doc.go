// Package kqpolicy holds the routing policies: the default one and the baselines
// with which it is compared.
package kqpolicy
