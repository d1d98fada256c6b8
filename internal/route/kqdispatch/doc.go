// Package kqdispatch is the reducer that schedules the calls on one entry host:
// admission by the contract, fair queueing between owners, selection of a target,
// retries, hedged requests, and ejection of failing targets per owner.
package kqdispatch
