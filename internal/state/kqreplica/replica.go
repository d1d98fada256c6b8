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
	Blank     Role = "blank" // has no cluster yet
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 50 * time.Millisecond

	heartbeatTicks = 10  // 500 ms
	electionTicks  = 24  // 1.2 s at the least
	electionSpread = 12  // up to 600 ms more, at random
	restRounds     = 10  // heartbeats of which a non-voter gets one
	hasteTicks     = 3   // 150 ms from the start, or from a pre-vote in vain
	hasteSpread    = 5   // up to 200 ms more, at random
	mostInVain     = 4   // doublings of the time for a vote: the next one would exceed an election's
	helloTicks     = 6   // 300 ms
	snapshotTicks  = 100 // 5 s until a snapshot is sent again
	readTicks      = 20  // 1 s until a read is given up

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
	Wanted() []Want
}

// Config constructs a Replica.
type Config struct {
	Host    string
	Self    Want   // this host, as it asks to join; the name alone suffices if Hosts names it
	Hosts   []Want // founding control hosts of the settings
	Token   string // random word of this start
	Cluster string // random word, the identity of a cluster founded here
	Loaded  kqjournal.Loaded
	Machine Machine
	Rand    *rand.Rand
	Batch   int // entries in one append message at most, 0 means defaultBatch
	Compact int // applied entries between two snapshots, 0 means snapshotEvery

	// Tolerance is how many data folders may be lost at once: an entry is
	// committed only when more hosts than that hold it (all, if there are fewer).
	Tolerance int
	// Open admits every control host that asks, and lets a silent one go once
	// enough others are there. Otherwise the operators' list decides.
	Open bool
	// NeverFound keeps a host without a cluster from founding one: its data
	// folder is empty because it was lost.
	NeverFound bool
}

// progress is what the leader knows of one other member.
type progress struct {
	next   uint64 // next index to send
	match  uint64 // highest index known to last there
	round  uint64 // newest heartbeat round acknowledged
	heard  int    // ticks since the last message
	paused bool   // a snapshot up to wants is under way
	wants  uint64
	waited int    // ticks since the snapshot was sent
	run    string // newest run that answered
	fresh  bool   // that run has not accepted anything yet
	lost   bool   // it holds less than it acknowledged
}

// Replica is the reducer of one control host.
type Replica struct {
	cfg     Config
	meta    kqjournal.Meta
	run     kqjournal.Run
	log     entries
	machine Machine
	rng     *rand.Rand

	role    Role
	leader  string
	members []Member // newest in the log, committed or not
	memberI uint64   // index of the entry that holds members
	commit  uint64
	applied uint64
	pending int // entry bytes applied since the last snapshot

	elapsed  int // ticks since the leader was heard or the election began
	timeout  int // ticks until an election begins
	beat     int // ticks since the last heartbeat round
	votes    map[string]bool
	preVote  bool            // votes are answers to a pre-vote
	inVain   int             // votes of this host since it knew a leader, mostInVain at the most
	linked   map[string]bool // hosts that a link is up to
	early    early           // what this host has done about its first election
	peers    map[string]*progress
	round    uint64
	reads    []read
	asked    map[string]*ask // reads asked on this host, as follower
	mine     map[uint64]string
	present  map[string]Message // answers to hello
	joiners  map[string]Member  // hosts that ask to join, and proved to be there now
	proofs   map[string]string  // question by which a host that asks proves that
	proofNo  int
	effects  []Effect
	reported Changed

	// commits reports whether entries of a term may be committed by counting
	// replicas: only those of the leader's own term may.
	commits func(term uint64) bool
}

// read waits for a heartbeat round to be acknowledged by a quorum.
type read struct {
	id    string
	from  string // empty: asked on this host
	index uint64
	round uint64 // noRound until the leader knows its commit index
	ticks int
}

// early says how far a host has come with its first election after a start.
type early int

const (
	notYet  early = iota
	first         // it asks for votes for the first time
	letPass       // it has let another candidate go first, or asked in vain
)

// ask is a read that the leader is to answer, once there is one.
type ask struct {
	lazy  bool
	ticks int // waited
}

// New returns the replica and the effects of its start; the first effect makes
// the new boot number last.
func New(cfg Config) (*Replica, []Effect, error) {
	r := &Replica{
		cfg: cfg, meta: cfg.Loaded.Meta, machine: cfg.Machine, rng: cfg.Rand,
		role: Follower, asked: map[string]*ask{}, mine: map[uint64]string{}, linked: map[string]bool{},
		present: map[string]Message{}, joiners: map[string]Member{},
	}
	if r.meta.Seen == nil {
		r.meta.Seen = map[string]kqjournal.Run{}
	}
	if r.meta.Incarnation == "" {
		r.meta.Incarnation = cfg.Token
	}
	if r.cfg.Batch == 0 {
		r.cfg.Batch = defaultBatch
	}
	if r.cfg.Compact == 0 {
		r.cfg.Compact = snapshotEvery
	}
	r.commits = func(term uint64) bool { return term == r.meta.Term }
	r.meta.Boot++
	r.run = kqjournal.Run{Incarnation: r.meta.Incarnation, Boot: r.meta.Boot, Token: cfg.Token}
	if err := r.restore(cfg.Loaded); err != nil {
		return nil, nil, err
	}
	if r.meta.Cluster == "" {
		r.role = Blank
	}
	r.resetTimeout()
	r.hasten()
	r.saveMeta()
	return r, r.take(), nil
}

func (r *Replica) restore(l kqjournal.Loaded) error {
	r.log = entries{base: l.Snapshot.Index, baseTerm: l.Snapshot.Term, list: l.Entries}
	r.commit, r.applied = l.Snapshot.Index, l.Snapshot.Index
	if l.Snapshot.Index > 0 {
		if err := r.machine.Restore(l.Snapshot.State); err != nil {
			return err
		}
	}
	r.log.members = decodeMembers(l.Snapshot.Members)
	r.findMembers()
	return nil
}

// findMembers takes the newest member list of the log.
func (r *Replica) findMembers() {
	r.members, r.memberI = r.log.members, r.log.base
	for _, e := range r.log.list {
		if e.Kind == kindMembers {
			r.members, r.memberI = decodeMembers(e.Data), e.Index
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
		r.read(ev)
	case LinkUp:
		r.linkUp(ev.Peer)
	case LinkDown:
		r.linkDown(ev.Peer)
	}
	r.report()
	return r.take()
}

func (r *Replica) take() []Effect {
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
func (r *Replica) report() {
	c := Changed{Role: r.role, Term: r.meta.Term, Leader: r.leader, Members: r.members}
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
		Applied: r.applied, First: r.log.base + 1, Members: r.members,
	}
}
