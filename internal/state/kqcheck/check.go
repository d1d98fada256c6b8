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

// rules are the project's own validation tags.
var customTags = map[string]validator.Func{
	"word":    func(f validator.FieldLevel) bool { return IsName(f.Field().String()) },
	"ipport":  func(f validator.FieldLevel) bool { return IsIPPort(f.Field().String()) },
	"keyhash": func(f validator.FieldLevel) bool { return keyHashRegexp.MatchString(f.Field().String()) },
	"pattern": func(f validator.FieldLevel) bool { return patternRegexp.MatchString(f.Field().String()) },
	"between": between,
}

// texts say in words what a tag allows.
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
			panic(err) // names are fixed at compile time
		}
	}
	return v
}

// between bounds a duration, as in between=1ms_to_10m.
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

// IsWord reports whether s may name an owner, service, host or target.
func IsName(s string) bool {
	return nameRegexp.MatchString(s)
}

// IsIPPort reports whether s is an IP number and a port over 0.
func IsIPPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// Decode reads exactly one JSON document without unknown keys into v.
func Decode(p []byte, v any) error {
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
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return errors.Newf("key %s: value is a %s: allowed: %s", kind.Field, kind.Value, kind.Type)
	}
	return err
}

// Struct validates v by its tags and names the first key that breaks them.
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

// shown hides the values that must not reach a log.
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
