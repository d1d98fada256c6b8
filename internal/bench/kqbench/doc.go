// Package kqbench is the command line of the load and experiment tool.
package kqbench
