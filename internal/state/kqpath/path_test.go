package kqpath

import (
	"net/url"
	"slices"
	"strings"
	"testing"
)

// TestCanonical guards against a prefix that is compared in another form than the path of a
// request.
func TestCanonical(t *testing.T) {
	for path, want := range map[string]string{
		"/a/b": "/a/b", "/foto%20bak/": "/foto bak/", "/foto bak/": "/foto bak/", "/%61%2f": "/a%2F", "/a%2F": "/a%2F",
		"/100%25/": "/100%25/", "/100%/": "/100%25/", "/a%252Fb": "/a%252Fb", "/a%zz": "/a%25zz", "/a%2": "/a%252", "%": "%25", "": "",
		"/%C3%A9/\xc3\xa9": "/\xc3\xa9/\xc3\xa9",
	} {
		if got := Canonical(path); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
		if got := Canonical(want); got != want {
			t.Errorf("%s: %q in canonical form, want it unchanged", want, got)
		}
	}
}

// FuzzCanonical guards against two paths of which one is taken for the other, and against two
// ways to write a path that are not: it compares the decoded segments.
func FuzzCanonical(f *testing.F) {
	paths := []string{"/a%2Fb", "/a%2fb", "/a/b", "/a%252Fb", "/%61%20b", "/a b", "/a%25", "/%C3%A9", "/\xc3\xa9", ""}
	for i, a := range paths {
		f.Add(a, paths[(i+1)%len(paths)])
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		left, err := segments(a)
		right, other := segments(b)
		if err != nil || other != nil {
			return // no request has such a path
		}
		if got := Canonical(a) == Canonical(b); got != slices.Equal(left, right) {
			t.Errorf("%q and %q: equal %v, segments %q and %q", a, b, got, left, right)
		}
	})
}

func segments(path string) ([]string, error) {
	list := strings.Split(path, "/")
	for i, s := range list {
		var err error
		if list[i], err = url.PathUnescape(s); err != nil {
			return nil, err
		}
	}
	return list, nil
}
