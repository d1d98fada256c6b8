// Package kqannounce serves the targets: it takes their announcements, runs the
// reducer of kqdirectory, spreads changes between the entry hosts, and answers
// which entry hosts callers should use.
package kqregistry
