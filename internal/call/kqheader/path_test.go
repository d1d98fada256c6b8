package kqheader

import (
	"net/url"
	"testing"
)

// TestPath guards against paths that are decoded to those of another route.
func TestPath(t *testing.T) {
	for raw, want := range map[string]string{
		"/":                    "/",
		"/a/b/":                "/a/b/",
		"/%61/b":               "/a/b",
		"/a%2Fb":               "/a%2Fb",
		"/a%2fb/%63":           "/a%2Fb/c",
		"/a%20b/c%2F":          "/a b/c%2F",
		"/a%25b":               "/a%25b",
		"/a%252Fb":             "/a%252Fb",
		"/a|b":                 "/a|b",
		"/a/%2e%2e/b":          "/a/../b",
		"/a%2F%2e%2e/b":        "/a%2F../b",
		"//a":                  "//a",
		"/\xff%2F":             "/\xff%2F",
		"/a?b=%2F":             "/a",
		"http://x.example/a/b": "/a/b",
	} {
		u, err := url.ParseRequestURI(raw)
		if err != nil {
			t.Fatal(err)
		}
		if got := Path(u); got != want {
			t.Errorf("%s: %q, want %q", raw, got, want)
		}
	}
}
