// Package kqheader names the header fields between callers, the system and
// targets.
package kqheader
