// Package kqtokens limits the requests of an owner over all entry hosts. Each voter of the
// replicated log holds a share of every limit in a token bucket (Buckets); an entry host asks
// voters for tokens and spends one for each request that it sends (Host).
package kqtokens
