// Package kqdispatch is the reducer that decides over calls on one entry host:
// admission by the contract, fair order between owners, choice of a target,
// retries, hedges, and each owner's own view of which targets fail it.
package kqdispatch
