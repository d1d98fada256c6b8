package kqcheck

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// refusedKeys decides what Keys decides by the decoder's tokens: whether an object has a key
// twice, too many keys, or one that equals a field in other letters only.
func refusedKeys(dec *json.Decoder, fields []string) bool {
	tok, err := dec.Token()
	if err != nil {
		return false
	}
	seen := map[string]bool{}
	for tok == json.Delim('{') || tok == json.Delim('[') {
		if !dec.More() {
			dec.Token()
			return false
		}
		if tok == json.Delim('{') {
			next, err := dec.Token()
			key, ok := next.(string)
			if err != nil || !ok {
				return false
			}
			for _, f := range fields {
				if f != key && strings.EqualFold(f, key) {
					return true
				}
			}
			if seen[key] || len(seen) == maxKeys {
				return true
			}
			seen[key] = true
		}
		if refusedKeys(dec, fields) {
			return true
		}
	}
	return false
}

// FuzzKeys guards against documents that the scanner reads in another way than the decoder, and
// against bytes that are no document and end the process.
func FuzzKeys(f *testing.F) {
	for _, s := range []string{
		`{"kind":"unsafe","kind":"safe"}`, `[{"kind":1},{"Kind":2}]`, `{"a":{"b":[{"a":1}]},"b":"\"a\":1,"}`, `{"\u006bind":1,"kind":2}`,
		`{"a":"\\","a":1}`, `{"":1,"":2}`, `{"a":[],"b":{},"a":0}`, `"a"`, `{"size":1,"ſize":2}`, `[[[{"a":"{","a":"}"}]]]`, `{}"a"`, `]{"a"`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		var v struct {
			Kind string `json:"kind"`
			Size int    `json:"size"`
		}
		err := Keys(p, &v)
		if !json.Valid(p) || BoundElements(p) != nil {
			return
		}
		want := refusedKeys(json.NewDecoder(bytes.NewReader(p)), []string{"kind", "size"})
		if (err != nil) != want {
			t.Errorf("%s: %v, refused %v by the decoder's tokens", p, err, want)
		}
	})
}
