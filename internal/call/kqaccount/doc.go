// Package kqaccount counts, for each owner on this host, the outcomes of its
// calls by cause, service, target and contract version.
package kqaccount
