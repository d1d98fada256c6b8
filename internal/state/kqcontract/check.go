package kqcontract

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

var (
	wordRule    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	keyRule     = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	patternRule = regexp.MustCompile(`^[A-Z]{1,16}( /[^\s]*)?$`)
	validate    = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	rule := func(name string, re *regexp.Regexp) {
		err := v.RegisterValidation(name, func(f validator.FieldLevel) bool {
			return re.MatchString(f.Field().String())
		})
		if err != nil {
			panic(err) // names are fixed at compile time
		}
	}
	err := v.RegisterValidation("ipport", func(f validator.FieldLevel) bool { return IsIPPort(f.Field().String()) })
	if err != nil {
		panic(err) // the name is fixed at compile time
	}
	rule("word", wordRule)
	rule("keyhash", keyRule)
	rule("pattern", patternRule)
	return v
}

// IsWord reports whether s may name an owner, service, host or target.
func IsWord(s string) bool {
	return wordRule.MatchString(s)
}

// IsIPPort reports whether s is an IP number and a port over 0.
func IsIPPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func check(name string, v any) error {
	err := validate.Struct(v)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return err
	}
	f := list[0]
	_, field, _ := strings.Cut(f.Namespace(), ".")
	return errors.Newf("%s: %s: value %v: allowed: %s", name, strings.ToLower(field), f.Value(), allowed(f))
}

func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "word":
		return "a to z, 0 to 9, '.', '_', '-', at most 63 characters"
	case "keyhash":
		return "sha256: and 64 hex digits"
	case "pattern":
		return "METHOD or METHOD /path, a final * matches any rest"
	case "ipport":
		return "IP:port with a port over 0"
	case "required":
		return "a value is required"
	default:
		return strings.TrimSpace(fmt.Sprintf("%s %s", f.Tag(), f.Param()))
	}
}
