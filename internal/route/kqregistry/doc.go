// Package kqregistry serves the targets: it takes their announcements, runs the
// reducer of kqdirectory, sends changes to the other entry hosts, and answers
// which entry hosts callers should use.
package kqregistry
