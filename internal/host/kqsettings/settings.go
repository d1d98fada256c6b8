package kqsettings

import (
	"os"
	"slices"

	"kumquatglade/internal/state/kqcheck"

	"github.com/cockroachdb/errors"
)

// Roles of a host.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Settings is the whole settings file of kumquatd.
type Settings struct {
	Host     string    `json:"host" validate:"required,word"`                                          // unique name of this host
	Domain   string    `json:"domain" validate:"required,word"`                                        // failure domain
	Region   string    `json:"region" validate:"required,word"`                                        // region of the domain
	Roles    []string  `json:"roles" validate:"required,min=1,max=2,unique,dive,oneof=entry control"`  // what this host does
	Data     string    `json:"data"`                                                                   // folder of durable state, control only
	Listen   Listen    `json:"listen"`                                                                 // where this host listens
	Control  []Control `json:"control" validate:"required,min=1,max=21,unique=Host,unique=Peers,dive"` // the control hosts
	Secret   string    `json:"secret" validate:"required,min=8"`                                       // shared by the system's own processes
	Operator string    `json:"operator" validate:"required,min=8"`                                     // key that operators present
	Log      Log       `json:"log"`                                                                    // structured log
}

// Listen holds the addresses of a host, each an IP and a port.
type Listen struct {
	Calls string `json:"calls" validate:"omitempty,ipport"` // callers and targets, entry only
	Admin string `json:"admin" validate:"required,ipport"`  // operators
	Peers string `json:"peers" validate:"required,ipport"`  // the system's own processes
}

// Control names one control host.
type Control struct {
	Host   string `json:"host" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Peers  string `json:"peers" validate:"required,ipport"`
}

// Log says what is logged and where.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"` // least level, "info" if empty
	Path  string `json:"path"`                                                   // file, stderr if empty
}

// Has reports whether the host has the role.
func (s *Settings) Has(role string) bool {
	return slices.Contains(s.Roles, role)
}

// Load reads and validates the file; the error is one line that names file,
// key, value and what is allowed.
func Load(path string) (Settings, error) {
	p, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(p)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse decodes and validates a settings document.
func Parse(p []byte) (Settings, error) {
	var s Settings
	if err := kqcheck.Decode(p, &s); err != nil {
		return s, err
	}
	return s, s.Validate()
}
