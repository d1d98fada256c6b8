package kqcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

var (
	nameRegexp    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	keyHashRegexp = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	patternRegexp = regexp.MustCompile(`^[A-Z]{1,16}( /[^\s]*)?$`)
	validate      = newValidator()
)

// customTags holds the validation tags that the validator library does not have.
var customTags = map[string]validator.Func{
	"word":    func(f validator.FieldLevel) bool { return IsName(f.Field().String()) },
	"ipport":  func(f validator.FieldLevel) bool { return IsIPPort(f.Field().String()) },
	"keyhash": func(f validator.FieldLevel) bool { return keyHashRegexp.MatchString(f.Field().String()) },
	"pattern": func(f validator.FieldLevel) bool { return patternRegexp.MatchString(f.Field().String()) },
	"between": between,
}

// tagTexts describes the values that each tag allows, for error messages.
var tagTexts = map[string]string{
	"word":    "a to z, 0 to 9, '.', '_', '-', at most 63 characters",
	"ipport":  "IP:port with a port over 0",
	"keyhash": "sha256: and 64 hex digits",
	"pattern": "METHOD or METHOD /path, a final * matches any rest",
	"unique":  "no value twice",
	"between": "a duration from %s",
	"min":     "at least %s",
	"max":     "at most %s",
	"gt":      "more than %s",
	"oneof":   "%s",
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	for name, f := range customTags {
		if err := v.RegisterValidation(name, f); err != nil {
			panic(err) // cannot happen: the names are constants
		}
	}
	return v
}

// between checks that a duration is in a range, as in between=1ms_to_10m.
func between(f validator.FieldLevel) bool {
	low, high, _ := strings.Cut(f.Param(), "_to_")
	least, err := time.ParseDuration(low)
	if err != nil {
		return false
	}
	most, err := time.ParseDuration(high)
	d := time.Duration(f.Field().Int())
	return err == nil && d >= least && d <= most
}

// IsName reports whether s is a valid name of an owner, service, host or target.
func IsName(s string) bool {
	return nameRegexp.MatchString(s)
}

// IsIPPort reports whether s is an IP address with a port greater than 0.
func IsIPPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

const (
	// A document may have freeElements elements in its arrays, and one more for each
	// bytesPerElement: the smallest useful one, a weighted service, takes more bytes than
	// that. An element of two bytes may decode to 200, so that a document within its limit
	// could fill the memory of a host.
	freeElements    = 16 << 10
	bytesPerElement = 24

	maxNesting = 64 // arrays and objects within each other
)

// BoundElements returns an error if the JSON document has far more array elements than its
// size explains, or is nested too deeply. It does not check the syntax.
func BoundElements(p []byte) error {
	most := freeElements + len(p)/bytesPerElement
	var arrays []bool // whether each open container is an array
	elements, inString, escaped := 0, false, false
	for _, c := range p {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			arrays = append(arrays, c == '[')
			if c == '[' {
				elements++
			}
		case (c == ']' || c == '}') && len(arrays) > 0:
			arrays = arrays[:len(arrays)-1]
		case c == ',' && len(arrays) > 0 && arrays[len(arrays)-1]:
			elements++
		}
		if elements > most || len(arrays) > maxNesting {
			return errors.Newf("more than %d elements, or nested deeper than %d", most, maxNesting)
		}
	}
	return nil
}

// Literal returns an error if the decoder would read anything else in the JSON document than a
// person does, or far more than its size explains: the errors of BoundElements, Keys and Text.
func Literal(p []byte, v any) error {
	if err := BoundElements(p); err != nil {
		return err
	}
	if err := Keys(p, v); err != nil {
		return err
	}
	return Text(p)
}

// Decode decodes exactly one JSON document into v. It fails on unknown keys, on a second
// document and on what Literal refuses.
func Decode(p []byte, v any) error {
	if err := Literal(p, v); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(p))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if dec.More() {
		return errors.New("more than one document")
	}
	return nil
}

func decodeError(err error) error {
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return errors.Newf("key %s: unknown", strings.Trim(key, `"`))
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &typeError{typeErr}
	}
	return err
}

// typeError is a decoding error in the words of this package. It wraps the original, which
// has the offset.
type typeError struct{ cause *json.UnmarshalTypeError }

func (e *typeError) Error() string {
	return fmt.Sprintf("key %s: value is a %s: allowed: %s", e.cause.Field, e.cause.Value, e.cause.Type)
}

func (e *typeError) Unwrap() error { return e.cause }

// Struct validates v by its struct tags. The error names the first key with an invalid
// value.
func Struct(v any) error {
	err := validate.Struct(v)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return err
	}
	f := list[0]
	_, key, _ := strings.Cut(f.Namespace(), ".")
	if f.Tag() == "required" {
		return errors.Newf("key %s: missing", key)
	}
	return errors.Newf("key %s: value %s: allowed: %s", key, displayValue(f), allowedText(f))
}

// displayValue formats a value for an error message and hides secrets, which must not
// reach a log.
func displayValue(f validator.FieldError) string {
	switch f.Field() {
	case "secret", "operator":
		return "(hidden)"
	}
	if s, ok := f.Value().(string); ok {
		return fmt.Sprintf("%q", s)
	}
	if d, ok := f.Value().(fmt.Stringer); ok {
		return d.String()
	}
	return fmt.Sprint(f.Value())
}

func allowedText(f validator.FieldError) string {
	text, ok := tagTexts[f.Tag()]
	if !ok {
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
	if !strings.Contains(text, "%s") {
		return text
	}
	param := f.Param()
	if f.Tag() == "oneof" {
		param = strings.ReplaceAll(param, " ", ", ")
	}
	return fmt.Sprintf(text, strings.ReplaceAll(param, "_", " "))
}
