package kqheader

import (
	"net/url"
	"strings"
)

// Path returns the decoded path of a request, by which its route is found. An encoded slash
// stays encoded, as "%2F": it is part of a segment and ends none.
func Path(u *url.URL) string {
	if u.RawPath == "" { // no slash is encoded
		return u.Path
	}
	segments := strings.Split(u.RawPath, "/")
	for i, s := range segments {
		decoded, err := url.PathUnescape(s)
		if err != nil {
			return u.RawPath // cannot happen: the URL was parsed
		}
		segments[i] = strings.ReplaceAll(decoded, "/", "%2F")
	}
	return strings.Join(segments, "/")
}
