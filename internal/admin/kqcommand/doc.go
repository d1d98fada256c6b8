// Package kqcommand is the operators' command line: it turns arguments into
// requests of kqclient and prints their answers.
package kqcommand
