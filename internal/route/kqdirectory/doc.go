// Package kqdirectory is the reducer of the targets that announced themselves.
//
// The newest announcement wins by epoch and sequence. The host that took it
// holds the target's lease and spreads changes only, not renewals; when that
// host is lost, the others drop its targets unless they announce elsewhere.
package kqdirectory
