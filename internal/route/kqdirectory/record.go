package kqdirectory

import (
	"kumquatglade/internal/state/kqcheck"

	"github.com/cockroachdb/errors"
)

// State is the state that a target announces.
type State string

// States of a target.
const (
	Ready    State = "ready"
	Warming  State = "warming"
	Draining State = "draining"
	Gone     State = "gone"
)

const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
)

// Record is a target's announcement together with its lease.
type Record struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Domain      string `json:"domain"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       State  `json:"state"`
	Load        int    `json:"load"`              // number of busy slots
	Epoch       uint64 `json:"epoch"`             // grows at each start of the target
	Seq         uint64 `json:"seq"`               // grows at each announcement within an epoch
	Holder      string `json:"holder,omitempty"`  // entry host that accepted the announcement and holds the lease
	Expired     bool   `json:"expired,omitempty"` // the lease expired
}

// Key identifies a target.
type Key struct {
	Service string
	ID      string
}

// Key returns the key of the record's target.
func (r Record) Key() Key {
	return Key{r.Service, r.ID}
}

// Validate returns an error that names the first invalid field, nil if there is
// none. A name is invalid if it does not match kqcheck.IsName.
func (r Record) Validate() error {
	switch {
	case !kqcheck.IsName(r.Service):
		return errors.Newf("service %q: want a word", r.Service)
	case !kqcheck.IsName(r.ID):
		return errors.Newf("id %q: want a word", r.ID)
	case !kqcheck.IsName(r.Domain):
		return errors.Newf("domain %q: want a word", r.Domain)
	case !kqcheck.IsIPPort(r.Addr):
		return errors.Newf("addr %q: want IP:port", r.Addr)
	case r.Slots < 1 || r.Slots > maxSlots:
		return errors.Newf("slots %d: want 1 to %d", r.Slots, maxSlots)
	case r.Connections < 1 || r.Connections > maxConnections:
		return errors.Newf("connections %d: want 1 to %d", r.Connections, maxConnections)
	case r.Load < 0 || r.Load > maxSlots:
		return errors.Newf("load %d: want 0 to %d", r.Load, maxSlots)
	}
	switch r.State {
	case Ready, Warming, Draining, Gone:
		return nil
	}
	return errors.Newf("state %q: want ready, warming, draining or gone", r.State)
}

// newer reports whether r replaces o: if its epoch is higher; if the epochs are equal,
// if its sequence number is higher; if both are equal, if only r is expired.
func (r Record) newer(o Record) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch > o.Epoch
	}
	if r.Seq != o.Seq {
		return r.Seq > o.Seq
	}
	return r.Expired && !o.Expired
}

// equalButRenewal reports whether r and o differ at most in load and sequence
// number, which a renewal changes and other hosts do not need.
func (r Record) equalButRenewal(o Record) bool {
	return r.Addr == o.Addr && r.Domain == o.Domain && r.Slots == o.Slots && r.Connections == o.Connections &&
		r.State == o.State && r.Epoch == o.Epoch && r.Holder == o.Holder && r.Expired == o.Expired
}

// Live reports whether the target is neither gone nor expired.
func (r Record) Live() bool {
	return !r.Expired && r.State != Gone
}
