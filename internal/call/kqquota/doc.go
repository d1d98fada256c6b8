// Package kqlend runs the reducer of kqallot on one entry host: it reports what
// the host needs, and makes the parts that it was lent act.
package kqquota
