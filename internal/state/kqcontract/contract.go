package kqcontract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"kumquatglade/internal/state/kqcheck"
	"kumquatglade/internal/state/kqpath"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes is the largest accepted document of a contract or of host lists,
// in bytes.
const MaxDocumentBytes = 256 << 10

// Contract states which services one owner may use and within which limits. An
// operator writes it.
type Contract struct {
	Owner    string    `json:"owner" validate:"required,word"`
	Version  uint64    `json:"version" validate:"required,min=1"`
	Keys     []string  `json:"keys,omitempty" validate:"max=32,dive,keyhash"`
	Services []Service `json:"services" validate:"required,min=1,max=512,unique=Name,dive"`
}

// Service is what the contract grants on one service; all limits apply to the
// whole system, not to each host.
type Service struct {
	Name       string   `json:"name" validate:"required,word"`
	Idempotent []string `json:"idempotent,omitempty" validate:"max=64,dive,pattern"`
	Deadline   Duration `json:"deadline" validate:"between=1ms_to_10m"`
	Rate       float64  `json:"rate" validate:"gt=0,max=10000000"`   // calls per second
	Burst      int      `json:"burst" validate:"min=1,max=1000000"`  // calls
	Active     int      `json:"active" validate:"min=1,max=1000000"` // calls in flight
	Queue      int      `json:"queue" validate:"min=0,max=1000000"`  // queued calls
	Share      float64  `json:"share" validate:"gt=0,max=1000"`      // weight when targets are shared among owners
	Probes     float64  `json:"probes" validate:"min=0,max=100000"`  // probes per second
	Retries    float64  `json:"retries" validate:"min=0,max=100"`    // percent of first sends
	Hedges     float64  `json:"hedges" validate:"min=0,max=100"`     // percent of first sends
	Body       int64    `json:"body" validate:"min=0,max=67108864"`  // bytes of a request body
}

// Duration is a time.Duration written as a JSON string such as "2s".
type Duration time.Duration

// String writes the duration as in "2s".
func (d Duration) String() string {
	return time.Duration(d).String()
}

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
	if err != nil {
		return errors.Newf("duration %q: want a string such as \"2s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Parse decodes and validates one contract document. It returns an error for an
// unknown key, a value out of range or a document over MaxDocumentBytes.
func Parse(p []byte) (Contract, error) {
	var c Contract
	if err := decode("contract", p, &c); err != nil {
		return c, err
	}
	return c, c.Validate()
}

// ParseHosts decodes and validates one document of host lists, as Parse does for
// contracts.
func ParseHosts(p []byte) (Hosts, error) {
	var h Hosts
	if err := decode("hosts", p, &h); err != nil {
		return h, err
	}
	return h, h.Validate()
}

func decode(name string, p []byte, v any) error {
	if len(p) > MaxDocumentBytes {
		return errors.Newf("%s: %d bytes: at most %d", name, len(p), MaxDocumentBytes)
	}
	return errors.Wrap(kqcheck.Decode(p, v), name)
}

// Validate checks every field and names the first that is out of its range.
func (c *Contract) Validate() error {
	return errors.Wrap(kqcheck.Struct(c), "contract")
}

// Hash returns a hash of the content in hex; equal contracts have equal hashes.
func (c *Contract) Hash() string {
	return contentHash(c)
}

// Hash returns a hash of the content in hex; equal host lists have equal hashes.
func (h *Hosts) Hash() string {
	return contentHash(h)
}

// Validate checks every field and names the first that is out of its range.
func (h *Hosts) Validate() error {
	return errors.Wrap(kqcheck.Struct(h), "hosts")
}

func contentHash(v any) string {
	p, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain fields always encode
	}
	sum := sha256.Sum256(p)
	return hex.EncodeToString(sum[:16])
}

// Service returns the service with the given name, or false if the contract has
// none.
func (c *Contract) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// IsIdempotent reports whether the contract lists method and path as safe to
// run more than once. A pattern is "METHOD" or "METHOD /path", where a
// trailing "*" matches any suffix. The path is canonical.
func (s *Service) IsIdempotent(method, path string) bool {
	for _, p := range s.Idempotent {
		m, pat, onPath := strings.Cut(p, " ")
		if m != method {
			continue
		}
		if !onPath || matchPath(pat, path) {
			return true
		}
	}
	return false
}

func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, kqpath.Canonical(prefix))
	}
	return kqpath.Canonical(pattern) == path
}
