package kqreplica

import (
	"math/rand/v2"
	"time"

	"kumquatglade/internal/state/kqjournal"
)

// Role of a replica.
type Role string

// Roles of a replica.
const (
	Unjoined  Role = "blank" // belongs to no cluster yet
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 50 * time.Millisecond

	heartbeatTicks     = 10  // 500 ms
	electionTicks      = 24  // 1.2 s at least
	electionSpread     = 12  // up to 600 ms more, at random
	nonVoterRounds     = 10  // a non-voter with a complete log gets every tenth heartbeat
	preVoteTicks       = 3   // 150 ms until a pre-vote, after the start or a failed pre-vote
	preVoteSpread      = 5   // up to 200 ms more, at random
	maxVoteBackoff     = 4   // doublings of the wait after a failed vote: from then on the wait always has the maximum that backOffVote allows
	helloTicks         = 6   // 300 ms between two hello messages, by which a host without a cluster finds the others
	snapshotRetryTicks = 100 // 5 s until a snapshot is sent again
	readTimeoutTicks   = 20  // 1 s until a read fails

	defaultBatch  = 512       // entries in one append message
	snapshotEvery = 4096      // applied entries between two snapshots
	snapshotBytes = 512 << 10 // entry bytes between two snapshots: about 20 large documents, which take 0.2 s to apply after a restart
)

// Machine is the deterministic state machine to which log entries are applied.
type Machine interface {
	// Apply applies one command and returns its result.
	Apply(data []byte) any
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by an encoded one.
	Restore(p []byte) error
	// DesiredMembers returns the control hosts that operators set, nil if none.
	DesiredMembers() []MemberSpec
}

// Config holds the parameters of a Replica.
type Config struct {
	Host         string
	Self         MemberSpec   // entry with which this host asks to join; may be empty if Hosts contains it
	Hosts        []MemberSpec // founding control hosts from the settings
	Token        string       // random identifier of this start of the process
	Cluster      string       // random identifier for a cluster that this host founds
	Loaded       kqjournal.Loaded
	Machine      Machine
	Rand         *rand.Rand
	MaxBatch     int // maximum number of entries in one append message, 0 means defaultBatch
	CompactEvery int // applied entries between two snapshots, 0 means snapshotEvery

	// Tolerance is the number of data folders that may be lost at once. An entry
	// is committed only when it is stored by a majority of the voters and by at
	// least Tolerance+1 of them, or by all if there are fewer.
	Tolerance int
	// OpenMembership admits every control host that asks to join, and removes a
	// silent one once enough others are available. Otherwise the operators' list
	// determines the members.
	OpenMembership bool
	// JoinOnly keeps a host without a cluster from founding one, for a host whose
	// data folder is empty because it was lost. It has no effect on a folder that was
	// made without it for the same founding hosts and belongs to no cluster yet.
	JoinOnly bool
}

// progress is what the leader knows about one other member.
type progress struct {
	next           uint64 // next log index to send
	match          uint64 // highest log index known to be stored there
	round          uint64 // newest heartbeat round acknowledged
	silent         int    // ticks since the last append reply
	paused         bool   // a snapshot is in flight; no entries are sent
	pausedUntil    uint64 // index of that snapshot, whose acknowledgement ends the pause
	sinceSnapshot  int    // ticks since the snapshot was sent
	run            string // newest start of the peer's process that replied
	runUnconfirmed bool   // that run has not accepted an append yet
	lostData       bool   // its log is shorter than what it acknowledged
}

// Replica is the consensus state of one control host: a reducer that handles one event
// at a time and returns effects. It is not safe for concurrent use.
type Replica struct {
	cfg     Config
	meta    kqjournal.Meta
	run     kqjournal.Run
	log     memoryLog
	machine Machine
	rng     *rand.Rand

	role               Role
	leader             string
	resignedTerm       uint64   // term whose leader resigned, 0: none
	members            []Member // newest member list in the log, committed or not
	membersIndex       uint64   // log index of that list
	commit             uint64
	applied            uint64
	unsnapshottedBytes int // entry bytes applied since the last snapshot

	elapsed              int // ticks since the leader was heard from or the election timer was reset
	electionTimeout      int // value of elapsed at which an election starts
	sinceHeartbeat       int // ticks since the last heartbeat round
	votes                map[string]bool
	preVote              bool            // votes holds replies to a pre-vote
	voteBackoff          int             // doublings of the wait after failed votes since a leader was known, at most maxVoteBackoff
	linked               map[string]bool // hosts with a link that is up
	now                  int             // ticks since the start
	leaderless           int             // ticks in which a majority was linked and there was no leader
	granted              candidacy       // whose pre-vote was granted last
	startup              startupElection // phase of the first election after the start
	peers                map[string]*progress
	round                uint64
	reads                []quorumRead              // reads that this host answers as leader
	forwardedReads       map[string]*forwardedRead // reads requested on this host while another host leads or none does, by ID
	proposalIDs          map[uint64]string         // IDs of this host's proposals that are not applied yet, by log index
	helloReplies         map[string]Message        // replies to hello, by host
	joiners              map[string]Member         // hosts to admit, by name; a member that returns with another data folder is added once it has answered an identity request
	identityRequests     map[string]string         // IDs of the pending identity requests, by host
	identityRequestCount int
	effects              []Effect
	reported             StatusChanged

	// canCommitTerm reports whether entries of a term may be committed by counting
	// replicas. Only those of the leader's own term may; tests replace it.
	canCommitTerm func(term uint64) bool
}

// quorumRead is a read that waits until a quorum has acknowledged a heartbeat round.
type quorumRead struct {
	id    string
	from  string // host that forwarded the read, empty if it was requested on this host
	index uint64
	round uint64 // roundUnknown until the leader has committed an entry of its term
	ticks int    // since the read was requested
}

// startupElection is the phase of a host's first election after its start.
type startupElection int

const (
	startupPending     startupElection = iota
	startupCampaigning                 // this host requests votes for the first time
	startupOver                        // this host yielded to another candidate, or its first campaign is over
)

// forwardedRead is a read that the leader answers, once there is one.
type forwardedRead struct {
	lazy  bool // the read may wait for the next heartbeat
	ticks int  // since the read was requested
}

// New returns the replica and the effects of its start; the first effect saves the new
// boot number. It returns an error if the loaded snapshot cannot be restored.
func New(cfg Config) (*Replica, []Effect, error) {
	r := &Replica{
		cfg: cfg, meta: cfg.Loaded.Meta, machine: cfg.Machine, rng: cfg.Rand,
		role: Follower, forwardedReads: map[string]*forwardedRead{}, proposalIDs: map[uint64]string{}, linked: map[string]bool{},
		helloReplies: map[string]Message{}, joiners: map[string]Member{},
	}
	if r.meta.Seen == nil {
		r.meta.Seen = map[string]kqjournal.Run{}
	}
	if r.meta.Incarnation == "" {
		r.meta.Incarnation = cfg.Token
		if !cfg.JoinOnly {
			r.meta.Founders = hostNames(cfg.Hosts)
		}
	}
	r.cfg.JoinOnly = cfg.JoinOnly && !r.continuesFirstStart()
	if r.cfg.MaxBatch == 0 {
		r.cfg.MaxBatch = defaultBatch
	}
	if r.cfg.CompactEvery == 0 {
		r.cfg.CompactEvery = snapshotEvery
	}
	r.canCommitTerm = func(term uint64) bool { return term == r.meta.Term }
	r.meta.Boot++
	r.run = kqjournal.Run{Incarnation: r.meta.Incarnation, Boot: r.meta.Boot, Token: cfg.Token}
	if err := r.restore(cfg.Loaded); err != nil {
		return nil, nil, err
	}
	if r.meta.Cluster == "" {
		r.role = Unjoined
	}
	r.resetElectionTimeout()
	r.shortenElectionTimeout()
	r.saveMeta()
	return r, r.takeEffects(), nil
}

func (r *Replica) restore(l kqjournal.Loaded) error {
	r.log = memoryLog{snapshotIndex: l.Snapshot.Index, snapshotTerm: l.Snapshot.Term, entries: l.Entries}
	r.commit, r.applied = l.Snapshot.Index, l.Snapshot.Index
	if l.Snapshot.Index > 0 {
		if err := r.machine.Restore(l.Snapshot.State); err != nil {
			return err
		}
	}
	r.log.snapshotMembers = decodeMembers(l.Snapshot.Members)
	r.updateMembers()
	return nil
}

// updateMembers sets the members to the newest member list in the log.
func (r *Replica) updateMembers() {
	r.members, r.membersIndex = r.log.snapshotMembers, r.log.snapshotIndex
	for _, e := range r.log.entries {
		if e.Kind == entryMembers {
			r.members, r.membersIndex = decodeMembers(e.Data), e.Index
		}
	}
}

// Reduce handles one event and returns the effects to carry out, in order. The time is
// not used.
func (r *Replica) Reduce(_ time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		r.tick()
	case Received:
		r.receive(ev.From, ev.Message)
	case Propose:
		r.propose(ev)
	case Read:
		r.handleRead(ev)
	case LinkUp:
		r.linkUp(ev.Peer)
	case LinkDown:
		r.linkDown(ev.Peer)
	case DiskFull:
		r.resign()
	}
	r.reportStatus()
	return r.takeEffects()
}

func (r *Replica) takeEffects() []Effect {
	out := r.effects
	r.effects = nil
	return out
}

func (r *Replica) emit(e Effect) {
	r.effects = append(r.effects, e)
}

func (r *Replica) send(to string, m Message) {
	m.Run = EncodeRun(r.run)
	r.emit(Send{To: to, Message: m})
}

func (r *Replica) saveMeta() {
	seen := make(map[string]kqjournal.Run, len(r.meta.Seen))
	for k, v := range r.meta.Seen {
		seen[k] = v
	}
	m := r.meta
	m.Seen = seen
	r.emit(SaveMeta{Meta: m})
}

// reportStatus emits StatusChanged if the role, term, leader or members changed since
// the last report.
func (r *Replica) reportStatus() {
	c := StatusChanged{Role: r.role, Term: r.meta.Term, Leader: r.leader, Members: r.members}
	p := r.reported
	if c.Role == p.Role && c.Term == p.Term && c.Leader == p.Leader && sameMembers(c.Members, p.Members) {
		return
	}
	r.reported = c
	r.emit(c)
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// foundingIndex is the log index of the member list that founds a cluster.
const foundingIndex = 1

// Status is the state of a replica as shown to operators.
type Status struct {
	Role    Role     `json:"role"`
	Term    uint64   `json:"term"`
	Leader  string   `json:"leader"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	First   uint64   `json:"first"` // first index after the last snapshot
	Members []Member `json:"members"`

	Voter     bool `json:"-"` // Members has this host, with its data folder, as a voter
	Committed bool `json:"-"` // Members is known to be committed
	Founding  bool `json:"-"` // Members is the list that founded the cluster
}

// Status returns the state of the replica as shown to operators.
func (r *Replica) Status() Status {
	return Status{
		Role: r.role, Term: r.meta.Term, Leader: r.leader, Commit: r.commit,
		Applied: r.applied, First: r.log.snapshotIndex + 1, Members: r.members,
		Voter: r.isVoter(r.cfg.Host, r.run.Incarnation), Committed: r.membersIndex <= r.commit, Founding: r.membersIndex == foundingIndex,
	}
}
