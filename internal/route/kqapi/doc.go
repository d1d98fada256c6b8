// Package kqdoor is the product's own interface of a system whose hosts find
// each other by seeds: announcements of targets at control hosts, and the
// directory that tells callers where to connect.
package kqapi
