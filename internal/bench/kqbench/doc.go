// Package kqbench implements the subcommands of kumquatbench, the load and experiment
// tool.
package kqbench
