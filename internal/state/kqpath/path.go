package kqpath

import (
	"encoding/hex"
	"strings"
)

// Canonical returns the canonical form of a path or of the beginning of one: all is decoded but
// the slash, which would end a segment, and the percent sign, which would begin another encoded
// character. Paths that differ in more than what they encode have different forms. A percent sign
// that begins no encoded character stands for itself.
func Canonical(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c, encoded := path[i], false
		if c == '%' {
			c, encoded = decode(path[i:])
		}
		switch {
		case c == '%':
			b.WriteString("%25")
		case c == '/' && encoded:
			b.WriteString("%2F")
		default:
			b.WriteByte(c)
		}
		if encoded {
			i += encodedLength - 1
		}
	}
	return b.String()
}

// encodedLength is the number of bytes of an encoded character, such as "%20".
const encodedLength = 3

// decode returns the character that is encoded at the beginning of s, and false with a percent
// sign if none is.
func decode(s string) (byte, bool) {
	if len(s) < encodedLength {
		return '%', false
	}
	c, err := hex.DecodeString(s[1:encodedLength])
	if err != nil {
		return '%', false
	}
	return c[0], true
}
