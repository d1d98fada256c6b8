package kqsettings

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as a JSON string such as "2s".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(p []byte) error {
	var s string
	if err := json.Unmarshal(p, &s); err != nil {
		return errors.Newf("duration %s: want a string such as \"2s\"", p)
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return errors.Newf("duration %q: want a string such as \"2s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Or returns the duration, or the default other if it is 0.
func (d Duration) Or(other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return time.Duration(d)
}
