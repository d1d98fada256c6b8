// Package kqjournal stores the replicated log of one control host in files: an
// append-only log in segments, which also holds the replica's metadata such as its
// vote, and a snapshot.
//
// A frame is a header with length and checksum, followed by CBOR. It holds either
// one batch of log entries or one Meta. Each frame is synced before the next is
// written. An invalid frame at the end of the log is therefore an incomplete
// write and is truncated; an invalid frame before a valid one is corruption, and
// Open returns ErrCorrupt.
package kqjournal
