// Package kqallocation is the reducer that divides each owner's limits among the
// entry hosts according to demand. The sum over all entry hosts never exceeds
// the contract.
//
// One entry host, the allocator, leases shares of the limits to the others for
// up to 3 s at a time. It may grant leases only while a majority of the entry
// hosts has promised to report to no other allocator. A host proves its promise
// by echoing a token that the allocator issued, so the allocator measures the
// promise on its own clock and does not depend on another host's clock. The
// leases of a partitioned allocator expire before a majority can turn to
// another one. A small fixed share is usable without an allocator.
package kqallocation
