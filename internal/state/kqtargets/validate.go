package kqtargets

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks announcements that no target can have made: other programs write to
// the same address.
var ErrInvalid = errors.New("invalid announcement")

const (
	maxWord = 128       // bytes of an ID, service or failure domain; each host keeps all of them
	maxAddr = 64        // bytes of an address
	maxSeq  = 1 << 48   // far more announcements than a target can make
	maxCold = time.Hour // of warming up
	maxLive = 16 << 10  // targets at a time, more than twice the size planned for

	// MaxSlots is the largest number of requests that a target can work on at once.
	MaxSlots = 1 << 16

	// maxBootAhead is how far the clock of a target may be ahead of this host's. A start in
	// the far future would make all later starts of the target look old.
	maxBootAhead = 24 * time.Hour
)

// Validate returns an error marked with ErrInvalid if an announcement that arrives now
// holds a value that no target can have.
func (a *Target) Validate(now time.Time) error {
	switch {
	case !isWord(a.ID):
		return invalid("id of %d bytes: want 1 to %d printable ASCII characters", len(a.ID), maxWord)
	case a.Boot < 0 || a.Boot > now.Add(maxBootAhead).UnixMilli():
		return invalid("%s: start %d", a.ID, a.Boot)
	case a.Seq > maxSeq:
		return invalid("%s: sequence number %d", a.ID, a.Seq)
	case a.State == Gone:
		return nil // says nothing else that is used
	case a.State != Ready && a.State != Draining:
		return invalid("%s: state of %d bytes", a.ID, len(a.State))
	case !isWord(a.Service) || !isWord(a.Domain):
		return invalid("%s: service or failure domain: want 1 to %d printable ASCII characters", a.ID, maxWord)
	case a.Slots < 1 || a.Slots > MaxSlots:
		return invalid("%s: %d slots: want 1 to %d", a.ID, a.Slots, MaxSlots)
	case a.ColdRemaining < 0 || a.ColdRemaining > maxCold:
		return invalid("%s: warm-up of %s: want 0 to %s", a.ID, a.ColdRemaining, maxCold)
	case !isUnicast(a.Addr):
		return invalid("%s: address of %d bytes: want the IP and port of one host", a.ID, len(a.Addr))
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf("announcement: "+format, args...), ErrInvalid)
}

// isWord reports whether s can stand in a header field and in a log line.
func isWord(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxWord
}

// isUnicast reports whether s is an address at which another host can listen.
func isUnicast(s string) bool {
	if len(s) > maxAddr {
		return false
	}
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Port() != 0 && ap.Addr().Zone() == "" && !ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast()
}

// HasRoom reports whether the directory can take the announcement: a program that
// announces ever new targets must not use up the memory of all hosts.
func (s *Set) HasRoom(a Target) bool {
	return s.Targets[a.ID] != nil || len(s.Targets)-len(s.GoneIDs) < maxLive
}
