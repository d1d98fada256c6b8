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
	Unjoined  Role = "blank" // has no cluster yet
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 50 * time.Millisecond

	heartbeatTicks     = 10  // 500 ms
	electionTicks      = 24  // 1.2 s at the least
	electionSpread     = 12  // up to 600 ms more, at random
	nonVoterRounds     = 10  // heartbeats of which a non-voter gets one
	preVoteTicks       = 3   // 150 ms from the start, or from a pre-vote in vain
	preVoteSpread      = 5   // up to 200 ms more, at random
	maxVoteBackoff     = 4   // doublings of the time for a vote: the next one would exceed an election's
	helloTicks         = 6   // 300 ms
	snapshotRetryTicks = 100 // 5 s until a snapshot is sent again
	readTimeoutTicks   = 20  // 1 s until a read is given up

	defaultBatch  = 512       // entries in one append message
	snapshotEvery = 4096      // applied entries between two snapshots
	snapshotBytes = 512 << 10 // entry bytes between two snapshots: about 20 large documents, which take 0.2 s to apply after a start
)

// Machine is the deterministic state that the log drives.
type Machine interface {
	// Apply runs one command and returns its result.
	Apply(data []byte) any
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state.
	Restore(p []byte) error
	// Wanted returns the control hosts that operators asked for, nil if none.
	DesiredMembers() []MemberSpec
}

// Config constructs a Replica.
type Config struct {
	Host         string
	Self         MemberSpec   // this host, as it asks to join; the name alone suffices if Hosts names it
	Hosts        []MemberSpec // founding control hosts of the settings
	Token        string       // random word of this start
	Cluster      string       // random word, the identity of a cluster founded here
	Loaded       kqjournal.Loaded
	Machine      Machine
	Rand         *rand.Rand
	MaxBatch     int // entries in one append message at most, 0 means defaultBatch
	CompactEvery int // applied entries between two snapshots, 0 means snapshotEvery

	// Tolerance is how many data folders may be lost at once: an entry is
	// committed only when more hosts than that hold it (all, if there are fewer).
	Tolerance int
	// Open admits every control host that asks, and lets a silent one go once
	// enough others are there. Otherwise the operators' list decides.
	OpenMembership bool
	// NeverFound keeps a host without a cluster from founding one: its data
	// folder is empty because it was lost.
	JoinOnly bool
}

// progress is what the leader knows of one other member.
type progress struct {
	next           uint64 // next index to send
	match          uint64 // highest index known to last there
	round          uint64 // newest heartbeat round acknowledged
	silent         int    // ticks since the last message
	paused         bool   // a snapshot up to wants is under way
	pausedUntil    uint64
	sinceSnapshot  int    // ticks since the snapshot was sent
	run            string // newest run that answered
	runUnconfirmed bool   // that run has not accepted anything yet
	lostData       bool   // it holds less than it acknowledged
}

// Replica is the reducer of one control host.
type Replica struct {
	cfg     Config
	meta    kqjournal.Meta
	run     kqjournal.Run
	log     memoryLog
	machine Machine
	rng     *rand.Rand

	role               Role
	leader             string
	members            []Member // newest in the log, committed or not
	membersIndex       uint64   // index of the entry that holds members
	commit             uint64
	applied            uint64
	unsnapshottedBytes int // entry bytes applied since the last snapshot

	elapsed              int // ticks since the leader was heard or the election began
	electionTimeout      int // ticks until an election begins
	sinceHeartbeat       int // ticks since the last heartbeat round
	votes                map[string]bool
	preVote              bool            // votes are answers to a pre-vote
	voteBackoff          int             // votes of this host since it knew a leader, mostInVain at the most
	linked               map[string]bool // hosts that a link is up to
	startup              startupElection // what this host has done about its first election
	peers                map[string]*progress
	round                uint64
	reads                []quorumRead
	forwardedReads       map[string]*forwardedRead // reads asked on this host, as follower
	proposalIDs          map[uint64]string
	helloReplies         map[string]Message // answers to hello
	joiners              map[string]Member  // hosts that ask to join, and proved to be there now
	identityRequests     map[string]string  // question by which a host that asks proves that
	identityRequestCount int
	effects              []Effect
	reported             StatusChanged

	// commits reports whether entries of a term may be committed by counting
	// replicas: only those of the leader's own term may.
	canCommitTerm func(term uint64) bool
}

// read waits for a heartbeat round to be acknowledged by a quorum.
type quorumRead struct {
	id    string
	from  string // empty: asked on this host
	index uint64
	round uint64 // noRound until the leader knows its commit index
	ticks int
}

// early says how far a host has come with its first election after a start.
type startupElection int

const (
	startupPending     startupElection = iota
	startupCampaigning                 // it asks for votes for the first time
	startupOver                        // it has let another candidate go first, or asked in vain
)

// ask is a read that the leader is to answer, once there is one.
type forwardedRead struct {
	lazy  bool
	ticks int // waited
}

// New returns the replica and the effects of its start; the first effect makes
// the new boot number last.
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
	}
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

// findMembers takes the newest member list of the log.
func (r *Replica) updateMembers() {
	r.members, r.membersIndex = r.log.snapshotMembers, r.log.snapshotIndex
	for _, e := range r.log.entries {
		if e.Kind == entryMembers {
			r.members, r.membersIndex = decodeMembers(e.Data), e.Index
		}
	}
}

// Reduce handles one event.
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

// report emits Changed when what operators see of this replica has changed.
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

// Status is what operators see of a replica.
type Status struct {
	Role    Role     `json:"role"`
	Term    uint64   `json:"term"`
	Leader  string   `json:"leader"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	First   uint64   `json:"first"` // first index still in the log
	Members []Member `json:"members"`
}

// Status returns a copy of what operators may see.
func (r *Replica) Status() Status {
	return Status{
		Role: r.role, Term: r.meta.Term, Leader: r.leader, Commit: r.commit,
		Applied: r.applied, First: r.log.snapshotIndex + 1, Members: r.members,
	}
}
