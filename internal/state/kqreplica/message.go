package kqreplica

import "kumquatglade/internal/state/kqjournal"

// Kinds of Message.
const (
	kindHello        = "hello"    // sent by a host without a cluster or leader: asks for a cluster to found or join
	kindHelloReply   = "present"  // reply to hello
	kindForwardHello = "join"     // a member forwards a hello to the leader
	kindIdentify     = "who"      // the leader asks a host that wants to join for its current data folder
	kindIdentity     = "iam"      // reply to who
	kindFounded      = "found"    // tells a member its cluster, with the founding entry if available
	kindStaleRun     = "expired"  // the receiver's message came from an earlier start or an old copy of its data folder
	kindPreVote      = "prevote"  // asks whether the receiver would vote for the sender in the next term
	kindPreVoteReply = "prevoted" // reply to prevote
	kindVote         = "vote"     // asks for a vote in this term
	kindVoteReply    = "voted"    // reply to vote
	kindAppend       = "append"   // log entries and heartbeat
	kindAppendReply  = "appended" // reply to append and snapshot
	kindSnapshot     = "snapshot" // state that replaces log entries
	kindRead         = "read"     // asks the leader for a commit index confirmed by a quorum
	kindReadReply    = "readable" // reply to read
	kindResigned     = "resigned" // a leader gave up its term
)

// Message is sent between replicas. Fields marked omitempty are not sent if empty.
type Message struct {
	Kind     string              `json:"k"`
	Run      string              `json:"r"` // run of the sender, formatted by EncodeRun
	Cluster  string              `json:"c,omitempty"`
	Term     uint64              `json:"t,omitempty"`
	Index    uint64              `json:"i,omitempty"` // vote: last log index; append: index before Entries; append reply: index up to which the logs agree, or may agree; read reply: commit index
	LogTerm  uint64              `json:"l,omitempty"` // term of the entry at Index
	Commit   uint64              `json:"m,omitempty"`
	Round    uint64              `json:"n,omitempty"` // heartbeat round, repeated in the reply
	OK       bool                `json:"o,omitempty"` // granted or accepted; in a read: may wait for the next heartbeat
	ID       string              `json:"d,omitempty"` // ID of the read or identity request, or the stale run
	Entries  []kqjournal.Entry   `json:"e,omitempty"`
	Snapshot *kqjournal.Snapshot `json:"s,omitempty"`
	Members  []Member            `json:"b,omitempty"`
}

// Event is an input of the Replica.
type Event interface{ replicaEvent() }

// Tick advances time; the caller of Reduce passes one every TickInterval.
type Tick struct{}

// Received is a message from an authenticated peer.
type Received struct {
	From    string
	Message Message
}

// Proposal is one command to append to the log.
type Proposal struct {
	ID   string // unique per proposal on this host
	Data []byte
}

// Propose asks this host, if it is the leader, to append commands. They are synced and
// sent together.
type Propose struct{ Proposals []Proposal }

// Read asks for a commit index that covers every change committed before the read.
type Read struct {
	ID   string
	Lazy bool // may wait for the next heartbeat, which confirms it without extra messages
}

// LinkUp reports that a new link to the peer was established.
type LinkUp struct{ Peer string }

// LinkDown reports that the link to the peer broke.
type LinkDown struct{ Peer string }

// DiskFull reports that the effects carried out last failed for want of room and wait for
// it. Until they are carried out, no other event may be passed on but LinkUp and LinkDown.
type DiskFull struct{}

func (Tick) replicaEvent()     {}
func (Received) replicaEvent() {}
func (Propose) replicaEvent()  {}
func (Read) replicaEvent()     {}
func (LinkUp) replicaEvent()   {}
func (LinkDown) replicaEvent() {}
func (DiskFull) replicaEvent() {}

// Effect is an output of the Replica. The caller carries out effects in order.
type Effect interface{ replicaEffect() }

// SaveMeta must be on disk before any later effect is carried out.
type SaveMeta struct{ Meta kqjournal.Meta }

// SaveEntries overwrites the stored log from the first entry on. It must be on disk
// before any later effect is carried out.
type SaveEntries struct{ Entries []kqjournal.Entry }

// SaveSnapshot replaces the stored log by a snapshot and the entries to keep after it.
// It must be on disk before any later effect is carried out.
type SaveSnapshot struct {
	Snapshot kqjournal.Snapshot
	Keep     []kqjournal.Entry
}

// Send passes a message to the link.
type Send struct {
	To      string
	Message Message
}

// Applied reports that an entry was applied to this host's state.
type Applied struct {
	Index  uint64
	ID     string // ID of the proposal if it was made on this host in this term, otherwise empty
	Result any    // what Machine.Apply returned
}

// Restored reports that a snapshot replaced the state.
type Restored struct{ Index uint64 }

// ProposalUnanswered reports that this host cannot tell the result of a proposal. The
// proposal may still be committed unless NotAppended is set.
type ProposalUnanswered struct {
	ID          string
	Leader      string // current leader, if known
	NotAppended bool   // the proposal was not appended to the log
}

// ReadResult answers a Read: a state that is applied up to Index is recent enough.
type ReadResult struct {
	ID    string
	Index uint64
	OK    bool // false: no quorum confirmed the read, which may be retried
}

// StatusChanged reports that the role, term, leader or members changed on this host.
type StatusChanged struct {
	Role    Role
	Term    uint64
	Leader  string
	Members []Member
}

// Halt reports that this host must stop using its data folder.
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
