// Package kqsettings reads and validates the JSON settings of one host.
package kqsettings
