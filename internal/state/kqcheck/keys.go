package kqcheck

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxKeys is the maximum number of keys in one object, far above the fields of any document
// and the entries of any map in one. It bounds the time to compare them.
const maxKeys = 256

// Keys returns an error if an object of the JSON document has a key twice, or a key that
// equals a field of v in other letters only. The decoder takes both: of several values it
// keeps the last one, which is not what a reader of the document may see. Keys does not check
// the syntax.
func Keys(p []byte, v any) error {
	c := keyCheck{fields: fieldNames(reflect.TypeOf(v), map[reflect.Type]bool{}, map[string]bool{})}
	isKey := false // of a text that comes next
	for i := 0; i < len(p); i++ {
		switch p[i] {
		case '{', '[':
			c.starts = append(c.starts, len(c.keys))
			c.objects = append(c.objects, p[i] == '{')
			isKey = p[i] == '{'
		case '}', ']':
			if len(c.starts) == 0 {
				return nil // the decoder reports it
			}
			last := len(c.starts) - 1
			c.keys = c.keys[:c.starts[last]]
			c.starts, c.objects = c.starts[:last], c.objects[:last]
			isKey = false // a text that follows is an error of the syntax
		case ',':
			isKey = len(c.objects) > 0 && c.objects[len(c.objects)-1]
		case '"':
			text := quoted(p[i:])
			if isKey {
				if err := c.add(text); err != nil {
					return err
				}
				isKey = false
			}
			i += len(text) - 1
		}
	}
	return nil
}

// quoted returns the JSON text that p begins with, with its quotes.
func quoted(p []byte) []byte {
	for i := 1; i < len(p); i++ {
		switch p[i] {
		case '\\':
			i++
		case '"':
			return p[:i+1]
		}
	}
	return p
}

// keyCheck holds the keys of the open objects.
type keyCheck struct {
	fields  map[string]bool
	keys    [][]byte // of all open objects, the innermost last
	starts  []int    // index in keys for each open object or array
	objects []bool   // whether each one is an object
}

// add adds a key, in quotes, of the innermost object.
func (c *keyCheck) add(text []byte) error {
	key := bytes.Trim(text, `"`)
	if bytes.IndexByte(text, '\\') >= 0 || !utf8.Valid(text) { // the decoder changes it
		var s string
		if json.Unmarshal(text, &s) != nil {
			return nil // the decoder reports it
		}
		key = []byte(s)
	}
	open := c.keys[c.starts[len(c.starts)-1]:]
	for _, other := range open {
		switch {
		case !bytes.Equal(other, key):
		case c.fields[string(key)]:
			return errors.Newf("key %q: twice in one object", key)
		default: // not shown, it may be a secret in the wrong place
			return errors.New("an unknown key is twice in one object")
		}
	}
	if len(open) == maxKeys {
		return errors.Newf("more than %d keys in one object", maxKeys)
	}
	c.keys = append(c.keys, key)
	if c.fields[string(key)] {
		return nil
	}
	for name := range c.fields {
		if strings.EqualFold(name, string(key)) {
			return errors.Newf("key %q: want %q", key, name)
		}
	}
	return nil
}

// fieldNames adds the JSON names of the fields of t, and of all types within it, to names.
func fieldNames(t reflect.Type, seen map[reflect.Type]bool, names map[string]bool) map[string]bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return fieldNames(t.Elem(), seen, names)
	case reflect.Struct:
	default:
		return names
	}
	if seen[t] {
		return names
	}
	seen[t] = true
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		if name != "" {
			names[name] = true
		}
		fieldNames(f.Type, seen, names)
	}
	return names
}
