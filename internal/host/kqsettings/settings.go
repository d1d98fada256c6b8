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
	Host        string    `json:"host" validate:"required,word"`                                         // unique name of this host
	Domain      string    `json:"domain" validate:"required,word"`                                       // failure domain
	Region      string    `json:"region" validate:"required,word"`                                       // region of the domain
	Roles       []string  `json:"roles" validate:"required,min=1,max=2,unique,dive,oneof=entry control"` // what this host does
	Data        string    `json:"data"`                                                                  // folder of durable state, control only
	Listen      Listen    `json:"listen"`                                                                // where this host listens
	Control     []Control `json:"control" validate:"max=21,unique=Host,unique=Peers,dive"`               // the control hosts, if they are known
	Secret      string    `json:"secret" validate:"required,min=8"`                                      // shared by the system's own processes
	OperatorKey string    `json:"operator" validate:"required,min=8"`                                    // key that operators present
	Log         Log       `json:"log"`                                                                   // structured log

	// With seeds in place of the list of control hosts, hosts go by their IP
	// and find each other.
	Label     string       `json:"label,omitempty"`                              // name in logs, the host if empty
	Seeds     []string     `json:"seeds,omitempty" validate:"max=8,dive,ipport"` // some control hosts; only the IP counts, peers ports are the same on all hosts
	Bootstrap bool         `json:"bootstrap,omitempty"`                          // the whole system starts for the first time
	Tolerance int          `json:"tolerance,omitempty" validate:"min=0,max=10"`  // data folders that may be lost at once
	Shared    SharedLimits `json:"shared"`                                       // what all entry hosts share
	Stop      Stop         `json:"stop"`                                         // how a planned stop goes
	Memory    int          `json:"memory,omitempty" validate:"min=0"`            // bytes that the process may use, 0: not bounded
}

// Shared are limits over all entry hosts together.
type SharedLimits struct {
	RetryRatio      float64  `json:"secondRatio" validate:"min=0,max=1"` // second sends to a service for each request for it
	RetrySlack      float64  `json:"secondSlack" validate:"min=0"`       // second sends besides, in one window
	RetryWindow     Duration `json:"secondWindow"`                       // over which second sends are counted, 10s if 0
	ProbesPerSecond float64  `json:"questions" validate:"min=0"`         // asked of one target a second; 0: not bounded
}

// Stop bounds the steps of a planned stop.
type Stop struct {
	CacheTime Duration `json:"hold"`   // for which callers may keep an earlier answer, 12s if 0
	Timeout   Duration `json:"finish"` // for the whole stop, 30s if 0
}

// Listen holds the addresses of a host, each an IP and a port.
type Listen struct {
	Calls string `json:"calls" validate:"omitempty,ipport"` // callers and targets, entry only
	Admin string `json:"admin" validate:"required,ipport"`  // operators
	Peers string `json:"peers" validate:"required,ipport"`  // the system's own processes

	Ready     string `json:"ready,omitempty" validate:"omitempty,ipport"`     // whether the host takes requests
	Control   string `json:"control,omitempty" validate:"omitempty,ipport"`   // targets and operators, by an adapter
	Directory string `json:"directory,omitempty" validate:"omitempty,ipport"` // callers that ask where to connect
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
	Path  string `json:"path"`                                                   // file, stderr if empty, standard output if "-"
}

// Stdout as the path of the log is standard output.
const Stdout = "-"

// Name returns the host as logs name it.
func (s *Settings) Name() string {
	if s.Label != "" {
		return s.Label
	}
	return s.Host
}

// Has reports whether the host has the role.
func (s *Settings) HasRole(role string) bool {
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
