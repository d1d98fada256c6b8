// Package kqbody reads request bodies into memory that all requests of an address share,
// so that their sum is bounded.
package kqbody
