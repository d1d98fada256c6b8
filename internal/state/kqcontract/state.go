package kqcontract

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"kumquatglade/internal/state/kqroutes"
	"kumquatglade/internal/state/kqtargets"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// HostsOwner takes the place of an owner's name in records about the host lists.
const HostsOwner = "(hosts)"

// KeptVersions is the number of accepted versions kept for each owner. A command
// resent for any of them gets its original result.
const KeptVersions = 1024

// Kinds of Command.
const (
	OpApply  = "apply"
	OpRemove = "remove"
	OpHosts  = "hosts"  // an operator replaces the host lists
	OpJoin   = "join"   // an entry host registers itself
	OpRoutes = "routes" // new routes are proposed
	OpTarget = "target" // a target joins, drains or leaves

	OpEvacuate = "evacuate" // an operator evacuates a failure domain or ends that
)

// Command is one requested change of the state machine.
type Command struct {
	Op       string             `json:"op"`
	Contract *Contract          `json:"contract,omitempty"`
	Owner    string             `json:"owner,omitempty"`
	Version  uint64             `json:"version,omitempty"`
	Hosts    *Hosts             `json:"hosts,omitempty"`
	Join     *EntryHost         `json:"join,omitempty"`
	Routes   *kqroutes.Proposal `json:"routes,omitempty"`
	Target   *kqtargets.Target  `json:"target,omitempty"` // announced at a control host; entry hosts keep theirs in kqdirectory
	Time     time.Time          `json:"time"`             // when the leader received it

	Evacuate *EvacuationOrder `json:"evacuate,omitempty"`
}

// Hosts is the document that lists all control hosts and entry hosts of the system.
type Hosts struct {
	Version uint64        `json:"version" validate:"required,min=1"`
	Control []ControlHost `json:"control" validate:"required,min=1,max=21,unique=Host,dive"`
	Entry   []EntryHost   `json:"entry" validate:"unique=Name,dive"`
}

// ControlHost is one control host in the list that operators set.
type ControlHost struct {
	Host   string `json:"host" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Peers  string `json:"peers" validate:"required,ipport"`
	Voter  bool   `json:"voter"` // whether it votes and counts towards a quorum
}

// EntryHost is one entry host of the system.
type EntryHost struct {
	Name   string `json:"name" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Region string `json:"region" validate:"required,word"`
	Calls  string `json:"calls" validate:"required,ipport"` // listen address for callers and targets
	Peers  string `json:"peers" validate:"required,ipport"` // listen address for other hosts of the system
	Boot   uint64 `json:"boot,omitempty"`                   // random number of the start at which it joined, 0 if not known
}

// JoinedBy reports whether the entry was added by the given start of the host.
func (h *EntryHost) JoinedBy(boot uint64) bool { return boot != 0 && h.Boot == boot }

// Accepted describes one accepted version of an owner's contract, of the host lists
// or of the routes.
type Accepted struct {
	Owner    string    `json:"owner"`
	Version  uint64    `json:"version"`
	Hash     string    `json:"hash"` // empty for a removal
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"`
}

// Record holds the current contract and the accepted versions of one owner.
type Record struct {
	Current  *Contract  `json:"current,omitempty"` // nil after a removal
	Accepted []Accepted `json:"accepted"`          // ascending, the last KeptVersions
}

func (r *Record) lastVersion() uint64 {
	if len(r.Accepted) == 0 {
		return 0
	}
	return r.Accepted[len(r.Accepted)-1].Version
}

func (r *Record) add(a Accepted) {
	r.Accepted = append(r.Accepted, a)
	if extra := len(r.Accepted) - KeptVersions; extra > 0 {
		r.Accepted = slices.Delete(r.Accepted, 0, extra)
	}
}

// Reasons for which a command is refused.
const (
	ReasonTaken   = "taken"   // this version was accepted with different content
	ReasonGap     = "gap"     // the version skips at least one version
	ReasonOld     = "old"     // the version is older than the kept versions
	ReasonUnknown = "unknown" // the contract does not exist or the command is invalid
	ReasonStale   = "stale"   // the entry has changed since the revision that the command names, or has outdated the announcement
	ReasonFull    = "full"    // there is no room for another entry
)

// Result is the outcome of a Command.
type Result struct {
	Accepted    Accepted `json:"accepted"`          // the accepted version; with ReasonTaken, the one accepted earlier
	Refused     string   `json:"refused,omitempty"` // one of the Reason constants, empty if accepted
	NextVersion uint64   `json:"want,omitempty"`    // the version that would be accepted next
	Repeat      bool     `json:"repeat,omitempty"`  // the same change was accepted before
}

// Change is the effect of one accepted command, as sent to entry hosts.
type Change struct {
	Revision uint64             `json:"revision"`
	Proposed int64              `json:"at,omitempty"` // when the leader proposed it, Unix milliseconds of its clock
	Owner    string             `json:"owner,omitempty"`
	Contract *Contract          `json:"contract,omitempty"` // nil if Owner is set and its contract was removed
	Hosts    *Hosts             `json:"hosts,omitempty"`
	Routes   *kqroutes.Delta    `json:"routes,omitempty"`
	Targets  []kqtargets.Target `json:"targets,omitempty"` // only those that changed

	Evacuations []Evacuation `json:"evacuations,omitempty"` // all entries if one changed, otherwise none
}

// State is the deterministic state machine of contracts, hosts, routes and targets.
type State struct {
	Revision      uint64             `json:"revision"` // number of accepted changes so far
	Owners        map[string]*Record `json:"owners"`
	Hosts         Hosts              `json:"hosts"`
	HostLog       Record             `json:"hostLog"` // accepted versions of Hosts
	HostsRevision uint64             `json:"listed"`  // revision at which Hosts last changed
	Routes        kqroutes.Registry  `json:"routes"`
	Targets       kqtargets.Set      `json:"targets"`
	Evacuations   []Evacuation       `json:"evacuations,omitempty"` // by domain; replaced, never modified, as changes share it
}

// NewState returns the empty state at revision 0.
func NewState() *State {
	return &State{Owners: map[string]*Record{}, Targets: kqtargets.NewSet()}
}

// Apply runs one command and returns its result; the change is nil if the state did
// not change.
func (s *State) Apply(c Command) (Result, *Change) {
	switch c.Op {
	case OpApply:
		if c.Contract == nil {
			return Result{Refused: ReasonUnknown}, nil
		}
		return s.acceptContract(c.Contract.Owner, c.Contract.Version, c.Contract, c.Time)
	case OpRemove:
		if s.Owners[c.Owner] == nil {
			return Result{Refused: ReasonUnknown}, nil
		}
		return s.acceptContract(c.Owner, c.Version, nil, c.Time)
	case OpHosts:
		return s.setHosts(c)
	case OpJoin:
		return s.joinEntryHost(c)
	case OpRoutes:
		return s.setRoutes(c)
	case OpTarget:
		return s.announceTarget(c)
	case OpEvacuate:
		return s.evacuate(c)
	default:
		return Result{Refused: ReasonUnknown}, nil
	}
}

func (s *State) acceptContract(owner string, version uint64, c *Contract, at time.Time) (Result, *Change) {
	rec := s.Owners[owner]
	if rec == nil {
		rec = &Record{}
	}
	hash := ""
	if c != nil {
		hash = c.Hash()
	}
	want := rec.lastVersion() + 1
	if version < want {
		return rec.answerEarlierVersion(version, hash, want), nil
	}
	if version > want {
		return Result{Refused: ReasonGap, NextVersion: want}, nil
	}
	if c == nil && rec.Current == nil {
		return Result{Refused: ReasonUnknown, NextVersion: want}, nil
	}
	s.Revision++
	a := Accepted{Owner: owner, Version: version, Hash: hash, Time: at, Revision: s.Revision}
	rec.Current = c
	rec.add(a)
	s.Owners[owner] = rec
	return Result{Accepted: a, NextVersion: version + 1}, &Change{Revision: s.Revision, Owner: owner, Contract: c}
}

// answerEarlierVersion returns the result for a version that was accepted before.
// The same content gets its original result; different content is refused, with the
// accepted version in the result.
func (r *Record) answerEarlierVersion(version uint64, hash string, want uint64) Result {
	i, ok := slices.BinarySearchFunc(r.Accepted, version, func(a Accepted, v uint64) int {
		return cmp.Compare(a.Version, v)
	})
	if !ok {
		return Result{Refused: ReasonOld, NextVersion: want}
	}
	a := r.Accepted[i]
	if a.Hash != hash {
		return Result{Accepted: a, Refused: ReasonTaken, NextVersion: want}
	}
	return Result{Accepted: a, Repeat: true, NextVersion: want}
}

func (s *State) setHosts(c Command) (Result, *Change) {
	if c.Hosts == nil {
		return Result{Refused: ReasonUnknown}, nil
	}
	hash := c.Hosts.Hash()
	want := s.HostLog.lastVersion() + 1
	if c.Hosts.Version < want {
		return s.HostLog.answerEarlierVersion(c.Hosts.Version, hash, want), nil
	}
	if c.Hosts.Version > want {
		return Result{Refused: ReasonGap, NextVersion: want}, nil
	}
	s.Revision++
	s.Hosts = *c.Hosts
	a := Accepted{Owner: HostsOwner, Version: want, Hash: hash, Time: c.Time, Revision: s.Revision}
	s.HostLog.add(a)
	return Result{Accepted: a, NextVersion: want + 1}, s.hostsChange()
}

// joinEntryHost adds an entry host that registered itself, or replaces its entry if
// it changed. The entry keeps the start at which it was added.
func (s *State) joinEntryHost(c Command) (Result, *Change) {
	if c.Join == nil {
		return Result{Refused: ReasonUnknown}, nil
	}
	host := *c.Join
	i := slices.IndexFunc(s.Hosts.Entry, func(h EntryHost) bool { return h.Name == host.Name })
	if i >= 0 {
		host.Boot = s.Hosts.Entry[i].Boot
		if s.Hosts.Entry[i] == host {
			return Result{Accepted: Accepted{Revision: s.Revision}, Repeat: true}, nil
		}
	}
	list := slices.Clone(s.Hosts.Entry)
	if i >= 0 {
		list[i] = host
	} else {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	s.Hosts.Entry = list
	s.Revision++
	return Result{Accepted: Accepted{Revision: s.Revision, Time: c.Time}}, s.hostsChange()
}

// setRoutes replaces the routes if the proposed version is newer; any other proposal
// is acknowledged as a repeat and changes nothing.
func (s *State) setRoutes(c Command) (Result, *Change) {
	if c.Routes == nil {
		return Result{Refused: ReasonUnknown}, nil
	}
	old := s.Routes.Current
	if !s.Routes.Accept(c.Routes, c.Time, s.Revision+1) {
		return Result{Accepted: s.acceptedRoutes(), Repeat: true}, nil
	}
	s.Revision++
	var from *kqroutes.Document
	if old != nil {
		from = &old.Document
	}
	delta := s.Routes.Current.Document.Diff(from)
	return Result{Accepted: s.acceptedRoutes()}, &Change{Revision: s.Revision, Routes: &delta}
}

// RoutesOwner takes the place of an owner's name in records about the routes.
const RoutesOwner = "(routes)"

func (s *State) acceptedRoutes() Accepted {
	a := s.Routes.History[len(s.Routes.History)-1]
	return Accepted{Owner: RoutesOwner, Version: a.Version, Hash: a.Hash, Time: a.Time, Revision: a.Revision}
}

// announceTarget applies an announcement that a target made about itself.
func (s *State) announceTarget(c Command) (Result, *Change) {
	if c.Target == nil {
		return Result{Refused: ReasonUnknown}, nil
	}
	t := *c.Target
	t.ColdLimited = s.Routes.Current != nil && s.Routes.Current.Document.HasColdRate(t.Service)
	changed := s.Targets.Apply(t, c.Time)
	if t.State != kqtargets.Ready && !s.Targets.InEffect(t) {
		return Result{Refused: ReasonStale}, nil
	}
	if len(changed) == 0 {
		return Result{Accepted: Accepted{Revision: s.Revision}, Repeat: true}, nil
	}
	s.Revision++
	return Result{Accepted: Accepted{Revision: s.Revision, Time: c.Time}}, &Change{Revision: s.Revision, Targets: changed}
}

func (s *State) hostsChange() *Change {
	s.HostsRevision = s.Revision
	h := s.Hosts
	return &Change{Revision: s.Revision, Hosts: &h}
}

// History returns the kept accepted versions of one owner, or of all owners if the
// name is empty, in the order of their revisions. HostsOwner selects the host lists.
func (s *State) History(owner string) []Accepted {
	list := []Accepted{}
	if owner == "" || owner == HostsOwner {
		list = append(list, s.HostLog.Accepted...)
	}
	for name, rec := range s.Owners {
		if owner == "" || owner == name {
			list = append(list, rec.Accepted...)
		}
	}
	slices.SortFunc(list, func(a, b Accepted) int { return cmp.Compare(a.Revision, b.Revision) })
	return list
}

// encodingMode encodes deterministically, so that equal states have equal digests.
var encodingMode = func() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err) // options are fixed at compile time
	}
	return mode
}()

// Encode returns the state as deterministic CBOR.
func (s *State) Encode() ([]byte, error) {
	return encodingMode.Marshal(s)
}

// Decode returns the state that was encoded by Encode.
func Decode(p []byte) (*State, error) {
	s := NewState()
	err := cbor.Unmarshal(p, s)
	if s.Targets.Targets == nil {
		s.Targets = kqtargets.NewSet() // written by an older version that kept no targets
	}
	return s, err
}

// Digest returns a hash of the state in hex; hosts with equal state have equal digests.
func (s *State) Digest() string {
	p, err := s.Encode()
	if err != nil {
		panic(err) // plain fields always encode
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(p))
}
