// Package kqlimit holds the limits that one host applies to its share of a
// contract: a rate with a burst, and a budget in percent of first sends.
package kqlimit
