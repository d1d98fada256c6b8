package kqcheck

import (
	"fmt"
	"strings"
	"testing"
)

// TestKeys guards against a document in which a reader sees one value and the decoder takes
// another: an object with a key twice, or a key in other letters than the field it decodes to.
func TestKeys(t *testing.T) {
	type route struct {
		Kind string `json:"kind"`
		Skip string `json:"-"`
		Hint []struct {
			Size int `json:"size,omitempty"`
		} `json:"hint"`
	}
	type document struct {
		Routes  []route           `json:"routes"`
		Named   map[string]*route `json:"named"`
		Service *route            `json:"service"`
		route                     // embedded fields are keys of the document
	}
	var large strings.Builder
	for i := range maxKeys + 1 {
		fmt.Fprintf(&large, `"k%d":0,`, i)
	}
	for name, c := range map[string]struct{ document, want string }{
		"empty":                     {`{}`, ""},
		"plain":                     {`{"routes":[{"kind":"safe"},{"kind":"unsafe"}],"kind":"safe"}`, ""},
		"spaces":                    {"{ \"kind\" :\n \"kind\" , \"routes\" : [ ] }", ""},
		"key in a text":             {`{"kind":"\"kind\":1,\"kind\":2"}`, ""},
		"text in a list":            {`{"hint":["kind","kind","KIND"]}`, ""},
		"unknown keys":              {`{"later":{"a":1,"b":2},"x":[{"a":1},{"a":2}]}`, ""},
		"same key at other depths":  {`{"service":{"kind":"safe"},"kind":"safe"}`, ""},
		"twice":                     {`{"routes":[{"kind":"unsafe","kind":"safe"}]}`, `key "kind": twice in one object`},
		"twice with an object":      {`{"kind":"unsafe","hint":[{"size":1}],"kind":"safe"}`, `key "kind": twice in one object`},
		"twice by an escape":        {`{"kind":"unsafe","\u006bind":"safe"}`, `key "kind": twice in one object`},
		"unknown key twice":         {`{"later":1,"later":2}`, "an unknown key is twice in one object"},
		"other letters":             {`{"Kind":"safe"}`, `key "Kind": want "kind"`},
		"other letters, beside":     {`{"kind":"unsafe","KIND":"safe"}`, `key "KIND": want "kind"`},
		"letters that fold":         {`{"\u212aind":"safe"}`, "key \"\u212aind\": want \"kind\""},
		"other letters, in a list":  {`{"hint":[{"Size":1}]}`, `key "Size": want "size"`},
		"other letters, in a map":   {`{"named":{"a":{"Kind":"safe"}}}`, `key "Kind": want "kind"`},
		"field that is not decoded": {`{"skip":1,"Skip":2}`, ""},
		"too many keys":             {"{" + strings.TrimSuffix(large.String(), ",") + "}", "more than 256 keys in one object"},
		"not a document":            {`{"kind":`, ""}, // found by the decoder
		"more closed than opened":   {`{"kind":1}}}],"kind":1,"kind":2`, ""},
		"text behind the end":       {`{}"kind":1`, ""},
		"text behind an object":     {`[{}"kind"]`, ""},
		"text without an end":       {`{"kind":1,"kin\`, ""},
		"bytes that are no text":    {"{\"kind\xff\":1}", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := Keys([]byte(c.document), &document{}); err != nil {
				got = err.Error()
			}
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
