package kqreplica

import "kumquatglade/internal/state/kqjournal"

// Kinds of Message.
const (
	kindHello        = "hello"    // a host without a cluster asks who is there
	kindHelloReply   = "present"  // answer to hello
	kindForwardHello = "join"     // a member passes a hello on to the leader
	kindIdentify     = "who"      // the leader asks a host that wants to join who it is now
	kindIdentity     = "iam"      // answer to who
	kindFounded      = "found"    // the first member list of a new cluster
	kindStaleRun     = "expired"  // the sender's data folder is an old copy
	kindPreVote      = "prevote"  // would you vote for me
	kindPreVoteReply = "prevoted" // answer to prevote
	kindVote         = "vote"     // vote for me
	kindVoteReply    = "voted"    // answer to vote
	kindAppend       = "append"   // entries and heartbeat
	kindAppendReply  = "appended" // answer to append and snapshot
	kindSnapshot     = "snapshot" // state in place of entries
	kindRead         = "read"     // confirm an index for a read
	kindReadReply    = "readable" // answer to read
)

// Message goes between replicas; empty fields are not sent.
type Message struct {
	Kind     string              `json:"k"`
	Run      string              `json:"r"` // run of the sender
	Cluster  string              `json:"c,omitempty"`
	Term     uint64              `json:"t,omitempty"`
	Index    uint64              `json:"i,omitempty"` // last or previous index
	LogTerm  uint64              `json:"l,omitempty"` // term at Index
	Commit   uint64              `json:"m,omitempty"`
	Round    uint64              `json:"n,omitempty"` // heartbeat round that is acknowledged
	OK       bool                `json:"o,omitempty"` // granted; in a read: it may wait for the next heartbeat
	ID       string              `json:"d,omitempty"` // read, or run that is expired
	Entries  []kqjournal.Entry   `json:"e,omitempty"`
	Snapshot *kqjournal.Snapshot `json:"s,omitempty"`
	Members  []Member            `json:"b,omitempty"`
}

// Event is an input of the Replica.
type Event interface{ replicaEvent() }

// Tick passes time; the runtime feeds one every TickInterval.
type Tick struct{}

// Received is a message of an authenticated peer.
type Received struct {
	From    string
	Message Message
}

// Proposal is one command for the log.
type Proposal struct {
	ID   string // unique per proposal on this host
	Data []byte
}

// Propose asks the leader to append commands: they are synced and sent together.
type Propose struct{ Proposals []Proposal }

// Read asks for an index that is at or behind no earlier accepted change.
type Read struct {
	ID   string
	Lazy bool // may wait for the next heartbeat, which then costs nothing more
}

// LinkUp says that a link to the peer was made anew.
type LinkUp struct{ Peer string }

// LinkDown says that the link to the peer broke.
type LinkDown struct{ Peer string }

func (Tick) replicaEvent()     {}
func (Received) replicaEvent() {}
func (Propose) replicaEvent()  {}
func (Read) replicaEvent()     {}
func (LinkUp) replicaEvent()   {}
func (LinkDown) replicaEvent() {}

// Effect is an output of the Replica, to be carried out in order.
type Effect interface{ replicaEffect() }

// SaveMeta must last before any later effect is carried out.
type SaveMeta struct{ Meta kqjournal.Meta }

// SaveEntries must last before any later effect is carried out.
type SaveEntries struct{ Entries []kqjournal.Entry }

// SaveSnapshot must last before any later effect is carried out.
type SaveSnapshot struct {
	Snapshot kqjournal.Snapshot
	Keep     []kqjournal.Entry
}

// Send gives a message to the link.
type Send struct {
	To      string
	Message Message
}

// Applied says that an entry took effect on this host's state.
type Applied struct {
	Index  uint64
	ID     string // the proposal, if it was made on this host in this term
	Result any    // what Machine.Apply returned
}

// Restored says that the state was replaced by a snapshot.
type Restored struct{ Index uint64 }

// Unknown says that a proposal was not answered: it may be accepted or not.
type ProposalUnanswered struct {
	ID          string
	Leader      string // leader to ask, if known
	NotAppended bool   // it was not appended at all
}

// Readable answers a Read: state applied up to Index is fresh enough.
type ReadResult struct {
	ID    string
	Index uint64
	OK    bool // false: no quorum answered, ask again
}

// Changed says that role, term, leader or members changed on this host.
type StatusChanged struct {
	Role    Role
	Term    uint64
	Leader  string
	Members []Member
}

// Halt says that this host must not go on with this data folder.
type Halt struct{ Reason string }

func (SaveMeta) replicaEffect()           {}
func (SaveEntries) replicaEffect()        {}
func (SaveSnapshot) replicaEffect()       {}
func (Send) replicaEffect()               {}
func (Applied) replicaEffect()            {}
func (Restored) replicaEffect()           {}
func (ProposalUnanswered) replicaEffect() {}
func (ReadResult) replicaEffect()         {}
func (StatusChanged) replicaEffect()      {}
func (Halt) replicaEffect()               {}
