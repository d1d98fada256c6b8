// Package kqslope fits straight lines through measured costs, to estimate what a
// host spends in systems that are too large to run on one machine.
package kqslope
