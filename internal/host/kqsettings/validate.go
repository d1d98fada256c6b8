package kqsettings

import (
	"reflect"
	"strings"

	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	rules := map[string]validator.Func{
		"word":   func(f validator.FieldLevel) bool { return kqcontract.IsWord(f.Field().String()) },
		"ipport": func(f validator.FieldLevel) bool { return kqcontract.IsIPPort(f.Field().String()) },
	}
	for name, f := range rules {
		if err := v.RegisterValidation(name, f); err != nil {
			panic(err) // names are fixed at compile time
		}
	}
	return v
}

// Validate checks every field and the fields against each other.
func (s *Settings) Validate() error {
	err := validate.Struct(s)
	var list validator.ValidationErrors
	if errors.As(err, &list) {
		return fieldError(list[0])
	}
	if err != nil {
		return err
	}
	if s.Has(RoleEntry) && s.Listen.Calls == "" {
		return errors.New("key listen.calls: missing: an entry host needs an IP:port")
	}
	if !s.Has(RoleControl) {
		return nil
	}
	if s.Data == "" {
		return errors.New("key data: missing: a control host needs a folder")
	}
	return s.checkSelf()
}

// checkSelf wants a control host to stand in its own list, so that a mistyped
// name cannot start a host that nobody counts.
func (s *Settings) checkSelf() error {
	for _, c := range s.Control {
		if c.Host == s.Host {
			return nil
		}
	}
	return errors.Newf("key control: host %q has the role control but is not in the list", s.Host)
}

func fieldError(f validator.FieldError) error {
	_, key, _ := strings.Cut(f.Namespace(), ".")
	if f.Tag() == "required" {
		return errors.Newf("key %s: missing", key)
	}
	return errors.Newf("key %s: value %q: allowed: %s", key, shown(f), allowed(f))
}

// shown hides the values that must not reach a log.
func shown(f validator.FieldError) any {
	if f.Field() == "secret" || f.Field() == "operator" {
		return "(hidden)"
	}
	return f.Value()
}

func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "word":
		return "a to z, 0 to 9, '.', '_', '-', at most 63 characters"
	case "ipport":
		return "IP:port with a port over 0"
	case "oneof":
		return strings.ReplaceAll(f.Param(), " ", ", ")
	case "unique":
		return "no value twice"
	default:
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
}
