// Package kqlimit holds the limiters that one host applies to its share of a contract:
// a rate with a burst, and a budget of retries in percent of first sends.
package kqlimit
