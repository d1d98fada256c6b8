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

// HostsOwner stands for the host lists where an owner's name is shown.
const HostsOwner = "(hosts)"

// KeptVersions is how many accepted versions of one owner are remembered, so
// that a resend of any of them gets its original answer.
const KeptVersions = 1024

// Kinds of Command.
const (
	OpApply  = "apply"
	OpRemove = "remove"
	OpHosts  = "hosts" // operators set the host lists
	OpJoin   = "join"  // an entry host announced itself
	OpRoutes = "routes"
	OpTarget = "target" // a target joined, drains or left
)

// Command is one change asked of the state machine.
type Command struct {
	Op       string             `json:"op"`
	Contract *Contract          `json:"contract,omitempty"`
	Owner    string             `json:"owner,omitempty"`
	Version  uint64             `json:"version,omitempty"`
	Hosts    *Hosts             `json:"hosts,omitempty"`
	Join     *EntryHost         `json:"join,omitempty"`
	Routes   *kqroutes.Proposal `json:"routes,omitempty"`
	Target   *kqtargets.Target  `json:"target,omitempty"`
	Time     time.Time          `json:"time"` // when the leader took it
}

// Hosts is the document of all hosts that the system counts on.
type Hosts struct {
	Version uint64        `json:"version" validate:"required,min=1"`
	Control []ControlHost `json:"control" validate:"required,min=1,max=21,unique=Host,dive"`
	Entry   []EntryHost   `json:"entry" validate:"unique=Name,dive"`
}

// Control is one control host that operators want.
type ControlHost struct {
	Host   string `json:"host" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Peers  string `json:"peers" validate:"required,ipport"`
	Voter  bool   `json:"voter"` // false for a replica that only follows
}

// Host is one entry host that the system counts on.
type EntryHost struct {
	Name   string `json:"name" validate:"required,word"`
	Domain string `json:"domain" validate:"required,word"`
	Region string `json:"region" validate:"required,word"`
	Calls  string `json:"calls" validate:"required,ipport"` // for callers and targets
	Peers  string `json:"peers" validate:"required,ipport"` // for the system's own processes
}

// Accepted is one version of an owner's contract that was accepted.
type Accepted struct {
	Owner    string    `json:"owner"`
	Version  uint64    `json:"version"`
	Hash     string    `json:"hash"` // empty for a removal
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"`
}

// Record is everything kept of one owner.
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
	ReasonTaken   = "taken"   // another content has this version
	ReasonGap     = "gap"     // the version is not one more than the last
	ReasonOld     = "old"     // older than the kept versions
	ReasonUnknown = "unknown" // there is no such contract
)

// Result answers a Command.
type Result struct {
	Accepted    Accepted `json:"accepted"`          // what stands for the version, also on ReasonTaken
	Refused     string   `json:"refused,omitempty"` // a Reason, empty if accepted
	NextVersion uint64   `json:"want,omitempty"`    // the version that would be accepted next
	Repeat      bool     `json:"repeat,omitempty"`  // the same change was accepted before
}

// Change is what one accepted command altered, as entry hosts receive it.
type Change struct {
	Revision uint64             `json:"revision"`
	Owner    string             `json:"owner,omitempty"`
	Contract *Contract          `json:"contract,omitempty"` // nil with an Owner: removed
	Hosts    *Hosts             `json:"hosts,omitempty"`
	Routes   *kqroutes.Delta    `json:"routes,omitempty"`
	Targets  []kqtargets.Target `json:"targets,omitempty"` // that changed
}

// State is the deterministic state machine of contracts and hosts.
type State struct {
	Revision      uint64             `json:"revision"` // accepted changes so far
	Owners        map[string]*Record `json:"owners"`
	Hosts         Hosts              `json:"hosts"`
	HostLog       Record             `json:"hostLog"` // accepted versions of Hosts
	HostsRevision uint64             `json:"listed"`  // revision at which Hosts last changed
	Routes        kqroutes.Registry  `json:"routes"`
	Targets       kqtargets.Set      `json:"targets"`
}

// NewState returns the empty state at revision 0.
func NewState() *State {
	return &State{Owners: map[string]*Record{}, Targets: kqtargets.NewSet()}
}

// Apply runs one command; the change is nil if nothing altered.
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

// earlier answers a version that was accepted before: the same content gets
// its original answer, other content learns what took the version.
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

// join adds an entry host that announced itself, or takes its new addresses.
func (s *State) joinEntryHost(c Command) (Result, *Change) {
	if c.Join == nil {
		return Result{Refused: ReasonUnknown}, nil
	}
	i := slices.IndexFunc(s.Hosts.Entry, func(h EntryHost) bool { return h.Name == c.Join.Name })
	if i >= 0 && s.Hosts.Entry[i] == *c.Join {
		return Result{Accepted: Accepted{Revision: s.Revision}, Repeat: true}, nil
	}
	list := slices.Clone(s.Hosts.Entry)
	if i >= 0 {
		list[i] = *c.Join
	} else {
		list = append(list, *c.Join)
	}
	slices.SortFunc(list, func(a, b EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	s.Hosts.Entry = list
	s.Revision++
	return Result{Accepted: Accepted{Revision: s.Revision, Time: c.Time}}, s.hostsChange()
}

// setRoutes puts the routes in force if their version is the highest; any other
// is acknowledged and changes nothing.
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
	delta := c.Routes.Document.Diff(from)
	return Result{Accepted: s.acceptedRoutes()}, &Change{Revision: s.Revision, Routes: &delta}
}

// RoutesOwner stands for the routes where an owner's name is shown.
const RoutesOwner = "(routes)"

func (s *State) acceptedRoutes() Accepted {
	a := s.Routes.History[len(s.Routes.History)-1]
	return Accepted{Owner: RoutesOwner, Version: a.Version, Hash: a.Hash, Time: a.Time, Revision: a.Revision}
}

// announce takes what a target said of itself.
func (s *State) announceTarget(c Command) (Result, *Change) {
	if c.Target == nil {
		return Result{Refused: ReasonUnknown}, nil
	}
	changed := s.Targets.Apply(*c.Target)
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

// History returns the kept accepted versions by revision, of one owner or, for
// an empty name, of all.
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

// encoding is deterministic, so that equal states have equal digests.
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

// Decode returns the state that Encode wrote.
func Decode(p []byte) (*State, error) {
	s := NewState()
	err := cbor.Unmarshal(p, s)
	if s.Targets.Targets == nil {
		s.Targets = kqtargets.NewSet() // a state written before there was a directory
	}
	return s, err
}

// Digest is equal on hosts that hold equal state.
func (s *State) Digest() string {
	p, err := s.Encode()
	if err != nil {
		panic(err) // plain fields always encode
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(p))
}
