// Package kqdirectory is the reducer that keeps the records of all targets that
// announced themselves to any entry host.
//
// The announcement with the highest epoch, then the highest sequence number,
// wins. The entry host that accepted it holds the target's lease and sends
// changes, but not renewals, to the other entry hosts. When the holder is
// unreachable, the others expire its targets unless they announce themselves to
// another entry host.
package kqdirectory
