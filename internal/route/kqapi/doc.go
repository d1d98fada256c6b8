// Package kqapi is the native HTTP interface of a cluster whose hosts discover each
// other through seed nodes. Control hosts accept the announcements of targets, and
// the directory tells callers which entry hosts to connect to.
package kqapi
