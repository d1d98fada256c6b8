// Package kqallot is the reducer that moves each owner's limits over the entry
// hosts to where the calls are, so that the sum over hosts never exceeds the
// contract.
//
// One entry host, the allocator, lends shares for about a second. It may lend
// only while a majority of the entry hosts has promised to ask nobody else;
// promises are proved by tokens that travel with the reports, so no clock of
// another host is trusted. Shares lent by an allocator that is cut off run out
// before a majority can turn to another one. A small fixed share needs no
// allocator.
package kqallocation
