// Package kqscenario holds the scripted scenarios of whole processes, in the
// language of testscript; see testdata.
package kqscenario
