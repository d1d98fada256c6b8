// Package kqmodel plays requests, entry hosts and targets in virtual time, so that policies can be compared without a
// network: targets that share their machines, queue, shed, start cold and fail fast, under the product's own choice.
package kqmodel
