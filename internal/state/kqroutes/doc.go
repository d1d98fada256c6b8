// Package kqroutes holds the document of routes. A route tells, by host and path,
// which service a request goes to, whether the request may be sent again, and how
// long it may take. The document with the highest version is the active one.
package kqroutes
