package kqsettings

import (
	"kumquatglade/internal/state/kqcheck"

	"github.com/cockroachdb/errors"
)

// Validate checks every field and the fields against each other.
func (s *Settings) Validate() error {
	if err := kqcheck.Struct(s); err != nil {
		return err
	}
	if s.HasRole(RoleEntry) && s.Listen.Calls == "" {
		return errors.New("key listen.calls: missing: an entry host needs an IP:port")
	}
	if len(s.Control) == 0 && len(s.Seeds) == 0 {
		return errors.New("key control: value []: allowed: at least 1")
	}
	if !s.HasRole(RoleControl) {
		return nil
	}
	if s.Data == "" {
		return errors.New("key data: missing: a control host needs a folder")
	}
	if len(s.Seeds) > 0 {
		return nil
	}
	return s.checkListedInControl()
}

// checkSelf wants a control host to stand in its own list, so that a mistyped
// name cannot start a host that nobody counts.
func (s *Settings) checkListedInControl() error {
	for _, c := range s.Control {
		if c.Host == s.Host {
			return nil
		}
	}
	return errors.Newf("key control: host %q has the role control but is not in the list", s.Host)
}
