package kqcheck

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestText guards against texts that the decoder changes: it replaces what is not Unicode, so
// that two prefixes or keys become one, and neither is what the document says.
func TestText(t *testing.T) {
	for name, c := range map[string]struct {
		document string
		ok       bool
	}{
		"empty":                        {`{}`, true},
		"letters":                      {`["é","\u00e9","\ud83d\ude00","😀"]`, true},
		"replacement character":        {`["` + string(utf8.RuneError) + `","\ufffd"]`, true},
		"escaped backslash":            {`["\\ud83d","\\\\"]`, true},
		"byte that is no letter":       {"[\"/pay\xff/\"]", false},
		"key that is no letter":        {"{\"\xc3\":1}", false},
		"letter written too long":      {"[\"\xc0\xaf\"]", false},
		"first half":                   {`["\ud83d"]`, false},
		"first half, other letter":     {`["\ud83d\u0041"]`, false},
		"first half, letter":           {`["\ud83dx"]`, false},
		"first half twice":             {`["\ud83d\ud83d\ude00"]`, false},
		"second half":                  {`["\ude00"]`, false},
		"second half, capitals":        {`["\uDE00"]`, false},
		"not hex, found by the reader": {`["\ud8"]`, true},
		"cut short":                    {`["\`, true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := Text([]byte(c.document)); (err == nil) != c.ok {
				t.Errorf("%v, want allowed %v", err, c.ok)
			}
		})
	}
}

// FuzzText guards against texts that the decoder changes and Text allows, and the reverse.
func FuzzText(f *testing.F) {
	for _, s := range []string{`{"a":"\ud83d\ude00"}`, `["\\ud83d"]`, `["\ud83d\\ude00"]`, `["\"\udE00"]`, "[\"\xff\"]", `{"\u0041":"\n\/"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		if !json.Valid(p) || bytes.Contains(p, []byte(string(utf8.RuneError))) || strings.Contains(strings.ToLower(string(p)), `\ufffd`) {
			return
		}
		changed := false
		dec := json.NewDecoder(bytes.NewReader(p))
		for tok, err := dec.Token(); err == nil; tok, err = dec.Token() {
			s, ok := tok.(string)
			changed = changed || ok && strings.ContainsRune(s, utf8.RuneError)
		}
		if err := Text(p); (err != nil) != changed {
			t.Errorf("%q: %v, changed %v by the decoder", p, err, changed)
		}
	})
}
