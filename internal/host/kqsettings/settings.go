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
	Roles       []string  `json:"roles" validate:"required,min=1,max=2,unique,dive,oneof=entry control"` // entry, control or both
	Data        string    `json:"data"`                                                                  // folder of durable state, for control hosts only
	Listen      Listen    `json:"listen"`                                                                // where this host listens
	Control     []Control `json:"control" validate:"max=21,unique=Host,unique=Peers,dive"`               // the control hosts; empty if seeds are given instead
	Secret      string    `json:"secret" validate:"required,min=8"`                                      // shared by all hosts of the system
	OperatorKey string    `json:"operator" validate:"required,min=8"`                                    // key that operators present
	Log         Log       `json:"log"`                                                                   // structured log

	// With seeds in place of the list of control hosts, hosts are named by their
	// IP addresses and discover each other.
	Label     string       `json:"label,omitempty"`                              // name in logs, the host if empty
	Seeds     []string     `json:"seeds,omitempty" validate:"max=8,dive,ipport"` // some control hosts; only the IP is used, as the peers port is the same on all hosts
	Bootstrap bool         `json:"bootstrap,omitempty"`                          // create a new system instead of joining one
	Tolerance int          `json:"tolerance,omitempty" validate:"min=0,max=10"`  // how many data folders may be lost at the same time
	Shared    SharedLimits `json:"shared"`                                       // limits that hold over all entry hosts together
	Stop      Stop         `json:"stop"`                                         // times of a planned stop
	Memory    int          `json:"memory,omitempty" validate:"min=0"`            // memory limit of the process in bytes, 0: none
	Link      float64      `json:"link,omitempty" validate:"min=0"`              // rate of the host's network link in Mbit/s, 0: unknown

	Keyed      bool              `json:"keyed,omitempty"`                                          // callers may present keys that no target may see, also while the routes have no owners
	ExactHosts bool              `json:"exactHosts,omitempty"`                                     // a request finds its route only by the host and port as listed
	Domains    map[string]string `json:"domains,omitempty" validate:"dive,keys,word,endkeys,word"` // region of each failure domain
}

// SharedLimits are limits over all entry hosts together.
type SharedLimits struct {
	RetryRatio      float64  `json:"secondRatio" validate:"min=0,max=1"` // retries per request to a service
	RetrySlack      float64  `json:"secondSlack" validate:"min=0"`       // additional retries in one window
	RetryWindow     Duration `json:"secondWindow"`                       // window in which retries are counted, 10s if 0
	ProbesPerSecond float64  `json:"questions" validate:"min=0"`         // probes to one target per second, 0: no limit

	QuotaWindow  Duration `json:"quotaWindow,omitempty"`                   // window in which the requests of an owner are counted
	QuotaOverrun float64  `json:"quotaOverrun,omitempty" validate:"min=0"` // share of an owner's limit that may be exceeded in one window
	QuotaSlack   float64  `json:"quotaSlack,omitempty" validate:"min=0"`   // requests of an owner on top of that in one window
	ColdOverrun  float64  `json:"coldOverrun,omitempty" validate:"min=0"`  // multiple of the cold rate that a cold target may get in one second
	ColdSlack    float64  `json:"coldSlack,omitempty" validate:"min=0"`    // requests on top of that
}

// Stop bounds the steps of a planned stop.
type Stop struct {
	CacheTime Duration `json:"hold"`   // how long callers may cache an answer of the directory, 12s if 0
	Timeout   Duration `json:"finish"` // of the whole stop, 30s if 0
}

// Listen holds the addresses of a host, each an IP and a port.
type Listen struct {
	Calls string `json:"calls" validate:"omitempty,ipport"` // callers and targets, entry only
	Admin string `json:"admin" validate:"required,ipport"`  // operators
	Peers string `json:"peers" validate:"required,ipport"`  // the system's own processes

	Ready     string `json:"ready,omitempty" validate:"omitempty,ipport"`     // readiness check of the host
	Control   string `json:"control,omitempty" validate:"omitempty,ipport"`   // targets and operators that use the platform's formats
	Directory string `json:"directory,omitempty" validate:"omitempty,ipport"` // callers that look up entry hosts
}

// Control names one control host.
type Control struct {
	Host   string `json:"host" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Peers  string `json:"peers" validate:"required,ipport"`
}

// Log says what is logged and where.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"` // minimum level, "info" if empty
	Path  string `json:"path"`                                                   // file, stderr if empty, standard output if "-"
}

// Stdout is the path of the log that stands for standard output.
const Stdout = "-"

// Name returns the name of the host in logs: its label, or the host if it has none.
func (s *Settings) Name() string {
	if s.Label != "" {
		return s.Label
	}
	return s.Host
}

// bitsPerMegabit and bitsPerByte convert Link.
const (
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// LinkRate returns how many bytes a second the host's network link carries, 0 if unknown.
func (s *Settings) LinkRate() float64 { return s.Link * bitsPerMegabit / bitsPerByte }

// HasRole reports whether the host has the role.
func (s *Settings) HasRole(role string) bool {
	return slices.Contains(s.Roles, role)
}

// Load reads and validates the file; an error is one line that names the
// file, the key, the value and the allowed values.
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
