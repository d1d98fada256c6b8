// Package kqscenario runs the end-to-end tests of whole processes, which are
// testscript files in testdata.
package kqscenario
