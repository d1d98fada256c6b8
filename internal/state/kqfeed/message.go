package kqfeed

import (
	"time"

	"kumquatglade/internal/state/kqcontract"
)

// Methods of the feed's messages and requests.
const (
	MethodSubscribe    = "subscribe" // entry to control, request
	MethodChanges      = "changes"   // control to entry
	MethodFullView     = "whole"     // control to entry
	MethodConfirmation = "fresh"     // control to entry
	MethodApplied      = "inforce"   // entry to control, and between control hosts
	MethodViewStatus   = "standing"  // entry to entry, request
	MethodView         = "view"      // entry to entry, request
	MethodControls     = "controls"  // control to entry
	MethodPresence     = "presence"  // entry to control
	MethodListeners    = "entries"   // control to entry
)

// subscription asks for all changes after a revision.
type subscription struct {
	Revision uint64               `json:"rev"`
	Host     kqcontract.EntryHost `json:"host"`
}

// start answers a subscription: a whole view, or the missing changes.
type subscribeReply struct {
	View         *View               `json:"view,omitempty"`
	ViewRevision *uint64             `json:"whole,omitempty"` // revision of a view that comes as a message, before or after this
	Changes      []kqcontract.Change `json:"changes,omitempty"`
	New          bool                `json:"new,omitempty"` // the host was never listed before

	Controls  []ControlHost   `json:"controls,omitempty"` // the control hosts now
	Listeners []EntryListener `json:"entries,omitempty"`  // the entry hosts that take callers
}

// Door is where an entry host takes callers.
type EntryListener struct {
	Addr   string `json:"a"` // IP:port
	Domain string `json:"d"`
}

// doors tells entry hosts which doors opened and which closed.
type listenerChanges struct {
	Opened []EntryListener `json:"opened,omitempty"`
	Closed []EntryListener `json:"closed,omitempty"`
}

// Neighbour is a control host as entry hosts learn of it.
type ControlHost struct {
	Host   string `json:"host"`
	Domain string `json:"domain,omitempty"` // empty if not known yet
	Peers  string `json:"peers"`
}

// controls tells entry hosts of the control hosts.
type controlHosts struct {
	List []ControlHost `json:"list"`
}

// Presence is what an entry host tells every control host of itself.
type Presence struct {
	Host  kqcontract.EntryHost `json:"host"`
	Ready bool                 `json:"ready"` // callers may be sent to it
}

// changes are those that came in force together, in order.
type changes struct {
	List []kqcontract.Change `json:"list"`
}

// fresh says that the revision was confirmed by a quorum just now.
type confirmation struct {
	Revision uint64 `json:"rev"`
}

// inForce says up to which revision hosts act.
type appliedRevisions struct {
	Hosts map[string]uint64 `json:"hosts"`
}

// standing is how recently a host's view was confirmed.
type viewStatus struct {
	Revision uint64        `json:"rev"`
	Age      time.Duration `json:"age"` // since the last confirmation
	Ready    bool          `json:"ready"`
}
