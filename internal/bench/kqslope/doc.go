// Package kqslope fits straight lines through measured costs, so that a page
// can say what a host would spend at a size that one machine cannot hold.
package kqslope
