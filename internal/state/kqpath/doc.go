// Package kqpath holds the form in which the paths of requests are compared with those that
// operators write in documents.
package kqpath
