// Package kqclient is the operators' client of the admin address.
package kqclient
