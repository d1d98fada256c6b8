// Package kqjournal keeps the replicated log of one control host in files: an
// append-only log in segments, with the votes among its entries, and a snapshot.
//
// One frame holds one synced batch, or what the replica must remember besides its
// log: a header of length and checksum, then CBOR. A frame is synced before the next is written, so a bad frame at the
// end is a torn write and is cut, while a bad frame before a good one is
// corruption and stops the process.
package kqjournal
