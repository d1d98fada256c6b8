package kqheader

import (
	"net/url"
	"strings"

	"kumquatglade/internal/state/kqpath"
)

// Path returns the canonical path of a request, by which its route is found. An encoded slash
// stays encoded: it is part of a segment and ends none.
func Path(u *url.URL) string {
	if u.RawPath != "" {
		return kqpath.Canonical(u.RawPath)
	}
	return kqpath.Canonical(u.EscapedPath())
}

// AsSent returns a URL that the library writes with the path as the caller sent it. It would
// encode a path with a character that RFC 3986 does not allow, and decode its slashes.
func AsSent(u *url.URL) *url.URL {
	if u.RawPath == "" || u.RawPath == u.EscapedPath() || strings.HasPrefix(u.RawPath, "//") { // it writes "//" with a scheme
		return u
	}
	return &url.URL{Opaque: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
}
