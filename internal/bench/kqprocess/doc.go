// Package kqprocess looks at a system whose hosts are processes of their own,
// started by scripts/fleet: it writes their settings, finds and kills them by
// their process numbers, and reads what they cost.
package kqprocess
