// Package kqquota shares the limits of each owner among the entry hosts.
//
// One entry host, the allocator, divides each limit by demand and grants every
// host a fraction of it for a short time. The package reports the demand of this
// host to the allocator, keeps the granted fractions, and answers the reports of
// other hosts while this host is the allocator. The rules are in a reducer in
// another package; this one supplies it with time and communication.
package kqquota
