// Package kqroutes is the document of routes: which service a request goes to
// by its host and path, what may be repeated, and how long it may take. The
// highest version is in force.
package kqroutes
