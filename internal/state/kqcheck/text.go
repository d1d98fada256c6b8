package kqcheck

import (
	"bytes"
	"encoding/hex"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// escapeLen is the length of an escaped UTF-16 unit, such as \u00e9, in bytes.
const escapeLen = 6

// Text returns an error if a text in the JSON document is not Unicode: bytes that are not
// UTF-8, or half of a surrogate pair. The decoder replaces them, and a prefix or a key is
// another one then. Text does not check the syntax.
func Text(p []byte) error {
	if !utf8.Valid(p) {
		return errors.New("not UTF-8")
	}
	for {
		i := bytes.IndexByte(p, '\\')
		if i < 0 {
			return nil
		}
		p = p[i:]
		first, ok := escapedUnit(p)
		switch {
		case !ok:
			p = p[min(2, len(p)):]
		case !utf16.IsSurrogate(first):
			p = p[escapeLen:]
		default:
			second, ok := escapedUnit(p[escapeLen:])
			if !ok || utf16.DecodeRune(first, second) == utf8.RuneError {
				return errors.Newf("%s: half of a character", p[:escapeLen])
			}
			p = p[2*escapeLen:]
		}
	}
}

// escapedUnit returns the UTF-16 unit whose escape p begins with, and false if it begins with
// no such escape.
func escapedUnit(p []byte) (rune, bool) {
	if len(p) < escapeLen || p[0] != '\\' || p[1] != 'u' {
		return 0, false
	}
	var unit [2]byte
	if _, err := hex.Decode(unit[:], p[2:escapeLen]); err != nil {
		return 0, false
	}
	return rune(unit[0])<<8 | rune(unit[1]), true
}
