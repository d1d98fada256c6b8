package kqfeed

import (
	"time"

	"kumquatglade/internal/state/kqcontract"
)

// Names of the feed's messages and requests on the wire, with sender and receiver.
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

// subscription is an entry host's request for all changes after a revision.
type subscription struct {
	Revision uint64               `json:"rev"`
	Host     kqcontract.EntryHost `json:"host"`
}

// subscribeReply answers a subscription with the missing changes, a full view, or the
// revision of a full view that is sent as a message of its own.
type subscribeReply struct {
	View         *View               `json:"view,omitempty"`
	ViewRevision *uint64             `json:"whole,omitempty"` // revision of the full view in a separate message, which may arrive before or after this reply
	Changes      []kqcontract.Change `json:"changes,omitempty"`
	New          bool                `json:"new,omitempty"` // the host's name was in no host list before

	Controls  []ControlHost   `json:"controls,omitempty"` // all control hosts, as known now
	Listeners []EntryListener `json:"entries,omitempty"`  // of the entry hosts that accept calls
}

// EntryListener is the address at which an entry host accepts calls.
type EntryListener struct {
	Addr   string `json:"a"` // IP:port
	Domain string `json:"d"`
}

// listenerChanges tells entry hosts which listeners opened and which closed.
type listenerChanges struct {
	Opened []EntryListener `json:"opened,omitempty"`
	Closed []EntryListener `json:"closed,omitempty"`
}

// ControlHost is what entry hosts are told about a control host.
type ControlHost struct {
	Host   string `json:"host"`
	Domain string `json:"domain,omitempty"` // empty if not known yet
	Peers  string `json:"peers"`
}

// controlHosts is the message that sends entry hosts the list of control hosts.
type controlHosts struct {
	List []ControlHost `json:"list"`
}

// Presence is what an entry host reports about itself to every control host.
type Presence struct {
	Host  kqcontract.EntryHost `json:"host"`
	Ready bool                 `json:"ready"` // it accepts calls
}

// changes is a batch of consecutive changes, in order of revisions.
type changes struct {
	List []kqcontract.Change `json:"list"`
}

// confirmation says that a quorum has just confirmed the revision.
type confirmation struct {
	Revision uint64 `json:"rev"`
}

// appliedRevisions holds the revision that each host acts on.
type appliedRevisions struct {
	Hosts map[string]uint64 `json:"hosts"`
}

// viewStatus tells the revision of a host's view and how recently it was confirmed.
type viewStatus struct {
	Revision uint64        `json:"rev"`
	Age      time.Duration `json:"age"` // time since the last confirmation
	Ready    bool          `json:"ready"`
}
