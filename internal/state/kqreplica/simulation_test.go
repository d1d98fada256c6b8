package kqreplica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqjournal"

	"github.com/cockroachdb/errors"
)

// mutation is a fault built into a replica on purpose, which the history check must
// detect.
type mutation string

const (
	noMutation         mutation = ""
	voteUnsynced       mutation = "vote not synced"
	lostDiskVotes      mutation = "host with a lost disk votes at once"
	commitsEarlierTerm mutation = "commits an earlier term by count"
	fullDiskIgnored    mutation = "acknowledges what a full disk refused"
	entriesNotSynced   mutation = "acknowledges entries that are not synced"
	folderNotSynced    mutation = "does not sync the folder"
)

// testMachine is a state machine that holds contracts and applies JSON commands.
type testMachine struct {
	state *kqcontract.State
	specs []MemberSpec
}

func (m *testMachine) Apply(data []byte) any {
	var c kqcontract.Command
	if err := json.Unmarshal(data, &c); err != nil {
		panic(err)
	}
	res, _ := m.state.Apply(c)
	return res
}

func (m *testMachine) Snapshot() []byte {
	p, err := m.state.Encode()
	if err != nil {
		panic(err)
	}
	return p
}

func (m *testMachine) Restore(p []byte) error {
	s, err := kqcontract.Decode(p)
	m.state = s
	return err
}

func (m *testMachine) DesiredMembers() []MemberSpec {
	var list []MemberSpec
	for _, c := range m.state.Hosts.Control {
		list = append(list, MemberSpec(c))
	}
	return list
}

// packet is one message in flight.
type packet struct {
	from, to string
	at       int // slot of its delivery
	run      int // start of the receiver that it is for, 0: any
	m        Message
}

// node is one control host of the simulation.
type node struct {
	name      string
	disk      *kqfake.Disk
	journal   *kqjournal.Journal
	replica   *Replica
	machine   *testMachine
	meta      kqjournal.Meta
	up        bool
	downUntil int
	oldDisk   *kqfake.Disk // an earlier copy of the data folder
	removed   bool         // permanently stopped
	joinOnly  bool         // it was started before, or was added after the founding: its settings say so from then on
	pending   []Effect     // effects of events handled together, not carried out yet
	full      bool         // the disk refused the first of them
	fullUntil int          // slot until which the disk is full

	stalledUntil int // slot until which the disk hangs, and the host with it
}

// simulation runs replicas with fake disks and links. One slot lasts one tick.
type simulation struct {
	rng         *rand.Rand
	batch       int
	mutant      mutation
	founders    []MemberSpec // founding control hosts
	open        bool         // open membership: hosts join when they ask, and two folders may be lost at once
	nodes       map[string]*node
	names       []string
	queue       []packet
	cuts        map[[2]string]int // slot until which messages from the first host to the second are lost
	slot        int
	noFaults    bool // no faults occur
	batchEvents bool // hosts get link events, and may carry out the effects of several events together

	compact     int // applied entries between two snapshots, 0: default
	haltReasons []string
	onEffect    func(n *node, e Effect)
}

func newSimulation(seed uint64, mutant mutation, names ...string) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), mutant: mutant, nodes: map[string]*node{}, cuts: map[[2]string]int{}}
	s.batch = 1 + s.rng.IntN(4)
	s.batchEvents = seed%5 != 0 && seed%5 != 4 // seeds of TestFixedSeeds must replay the histories that they were kept for
	if seed%5 == 2 {
		s.compact = 5 + int(seed%25) // a lagging host gets most of what it lacks as a snapshot
	}
	for _, n := range names {
		s.addHost(n)
		s.founders = append(s.founders, memberSpec(n))
	}
	for _, n := range names {
		s.start(s.nodes[n])
	}
	return s
}

func (s *simulation) addHost(name string) *node {
	n := &node{name: name, disk: kqfake.NewDisk(s.rng)}
	s.nodes[name] = n
	s.names = append(s.names, name)
	return n
}

func memberSpec(name string) MemberSpec {
	return MemberSpec{Host: name, Domain: name, Peers: "127.0.0.1:1", Voter: true}
}

func (s *simulation) randomWord() string {
	return fmt.Sprintf("%08x", s.rng.Uint32())
}

func (s *simulation) start(n *node) {
	n.disk.Crash()
	journal, loaded, err := kqjournal.Open(s.diskOf(n))
	if err != nil {
		panic(fmt.Sprintf("slot %d: %s does not start: %v", s.slot, n.name, err))
	}
	if s.mutant == lostDiskVotes && loaded.Meta.Cluster == "" && n.meta.Cluster != "" {
		loaded.Meta = kqjournal.Meta{Cluster: n.meta.Cluster, Incarnation: n.meta.Incarnation, Boot: n.meta.Boot, Term: 1}
	}
	hosts := s.founders
	if !slices.ContainsFunc(hosts, func(h MemberSpec) bool { return h.Host == n.name }) {
		hosts = append(slices.Clone(hosts), memberSpec(n.name))
	}
	n.journal, n.machine = journal, &testMachine{state: kqcontract.NewState()}
	cfg := Config{
		Host: n.name, Hosts: hosts, Token: s.randomWord(), Cluster: s.randomWord(), Loaded: loaded, Machine: n.machine, Rand: s.rng, MaxBatch: s.batch, CompactEvery: s.compact,
	}
	if s.open {
		cfg.Hosts, cfg.Self, cfg.OpenMembership, cfg.Tolerance, cfg.JoinOnly = s.seedHosts(), memberSpec(n.name), true, openTolerance, n.joinOnly
	}
	r, effects, err := New(cfg)
	if err != nil {
		panic(err)
	}
	if s.mutant == commitsEarlierTerm {
		r.canCommitTerm = func(uint64) bool { return true }
	}
	n.joinOnly = true
	n.replica, n.up, n.pending, n.full = r, true, nil, false
	s.perform(n, effects)
	s.announceLinks(n)
}

// diskOf returns the disk as the journal of the host sees it.
func (s *simulation) diskOf(n *node) kq.Disk {
	switch s.mutant {
	case folderNotSynced:
		return unsyncedFolder{n.disk}
	case entriesNotSynced:
		return unsyncedFiles{n.disk}
	default:
		return n.disk
	}
}

// unsyncedFolder is a disk whose folder is never synced.
type unsyncedFolder struct{ *kqfake.Disk }

func (unsyncedFolder) SyncFolder() error { return nil }

// unsyncedFiles is a disk whose files are never synced.
type unsyncedFiles struct{ *kqfake.Disk }

func (d unsyncedFiles) OpenAppend(name string) (kq.File, error) {
	f, err := d.Disk.OpenAppend(name)
	return unsyncedFile{f}, err
}

type unsyncedFile struct{ kq.File }

func (unsyncedFile) Sync() error { return nil }

// announceLinks reports the links of a started host to it and to the running hosts.
func (s *simulation) announceLinks(n *node) {
	if !s.batchEvents {
		return
	}
	for _, name := range s.names {
		if o := s.nodes[name]; o != n && o.up {
			s.feed(o, LinkUp{Peer: n.name})
			s.feed(n, LinkUp{Peer: o.name})
		}
	}
}

// seedHosts returns the three control hosts that the settings name at a start. They
// never include hosts that were permanently stopped, but may include hosts that are
// down or have an empty folder.
func (s *simulation) seedHosts() []MemberSpec {
	var list []MemberSpec
	for _, name := range s.names {
		if n := s.nodes[name]; !n.removed && len(list) < len(s.founders) {
			list = append(list, memberSpec(name))
		}
	}
	return list
}

func (s *simulation) crash(n *node, slots int) {
	n.up, n.downUntil = false, s.slot+slots
	for _, name := range s.names {
		if o := s.nodes[name]; o.up && s.rng.IntN(2) == 0 {
			s.feed(o, LinkDown{Peer: n.name})
		}
	}
}

// loseFolder gives the host an empty data folder.
func (s *simulation) loseFolder(n *node) {
	n.disk = kqfake.NewDisk(s.rng)
}

func (s *simulation) feed(n *node, ev Event) {
	if !n.up {
		return
	}
	if n.full {
		s.feedFull(n, ev)
		return
	}
	n.pending = append(n.pending, n.replica.Reduce(time.Time{}, ev)...)
	if s.batchEvents && s.rng.IntN(2) == 0 {
		return // further events may be handled before the effects of this one are carried out
	}
	s.flush(n)
}

// flush carries out the pending effects of a host.
func (s *simulation) flush(n *node) {
	list := Merge(n.pending)
	n.pending = nil
	s.perform(n, list)
}

// perform carries out effects in order. A disk that fails crashes the host before any
// later effect is carried out.
func (s *simulation) perform(n *node, effects []Effect) {
	for i, e := range effects {
		if !n.up && !isSave(e) {
			continue // the host lost power at an earlier effect
		}
		err := s.performOne(n, e)
		if errors.Is(err, kq.ErrFull) {
			s.becomeFull(n, effects[i:])
			return
		}
		if err != nil {
			s.crash(n, 5+s.rng.IntN(60))
			return
		}
	}
}

// isSave reports whether the effect writes to the disk.
func isSave(e Effect) bool {
	switch e.(type) {
	case SaveMeta, SaveEntries, SaveSnapshot:
		return true
	default:
		return false
	}
}

func (s *simulation) performOne(n *node, e Effect) error {
	switch e := e.(type) {
	case SaveMeta:
		if s.mutant == voteUnsynced && e.Meta.Vote != "" {
			n.meta = e.Meta
			return nil
		}
		n.meta = e.Meta
		return n.journal.SaveMeta(e.Meta)
	case SaveEntries:
		err := n.journal.Append(e.Entries)
		if s.mutant == fullDiskIgnored && errors.Is(err, kq.ErrFull) {
			return nil
		}
		return err
	case SaveSnapshot:
		return n.journal.SaveSnapshot(e.Snapshot, e.Keep)
	case Send:
		s.send(n.name, e.To, e.Message)
	case Halt:
		s.haltReasons = append(s.haltReasons, n.name+": "+e.Reason)
		s.crash(n, 10)
	default:
		if s.onEffect != nil {
			s.onEffect(n, e)
		}
	}
	return nil
}

// send queues a message, which may be lost, duplicated or delayed.
func (s *simulation) send(from, to string, m Message) {
	if s.nodes[to] == nil || s.cuts[[2]string{from, to}] > s.slot {
		return
	}
	p := packet{from: from, to: to, at: s.slot + s.rng.IntN(2), m: clone(m)}
	if !s.noFaults {
		switch s.rng.IntN(40) {
		case 0:
			return
		case 1:
			s.queue = append(s.queue, p)
		case 2:
			p.at += s.rng.IntN(60)
		}
	}
	s.queue = append(s.queue, p)
}

// clone encodes and decodes a message, as sending it over the network does.
func clone(m Message) Message {
	p, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	var out Message
	if err := json.Unmarshal(p, &out); err != nil {
		panic(err)
	}
	return out
}

// step runs one slot: restarts of hosts, deliveries in random order, and one tick for
// each host.
func (s *simulation) step() {
	s.slot++
	for _, name := range s.names {
		if n := s.nodes[name]; !n.up && !n.removed && s.slot >= n.downUntil {
			s.start(n)
		}
	}
	s.stepFullDisks()
	s.rng.Shuffle(len(s.queue), func(i, j int) { s.queue[i], s.queue[j] = s.queue[j], s.queue[i] })
	due := s.queue
	s.queue = nil
	for _, p := range due {
		if p.at > s.slot || s.nodes[p.to].stalledUntil > s.slot {
			s.queue = append(s.queue, p)
			continue
		}
		s.feed(s.nodes[p.to], Received{From: p.from, Message: p.m})
	}
	for _, name := range s.names {
		n := s.nodes[name]
		if (s.noFaults || s.rng.IntN(20) > 0) && n.stalledUntil <= s.slot { // a slow host misses ticks
			s.feed(n, Tick{})
		}
	}
	for _, name := range s.names {
		if n := s.nodes[name]; n.up && n.stalledUntil <= s.slot {
			s.flush(n)
		}
	}
}

// cutLink drops the messages from one host to another for a number of slots.
func (s *simulation) cutLink(from, to string, slots int) {
	s.cuts[[2]string{from, to}] = s.slot + slots
}

func (s *simulation) pickNode() *node {
	return s.nodes[s.names[s.rng.IntN(len(s.names))]]
}

// leader returns the running leader of the highest term, or nil if there is none.
func (s *simulation) leader() *node {
	var best *node
	for _, name := range s.names {
		n := s.nodes[name]
		if n.up && n.replica.role == Leader && (best == nil || n.replica.meta.Term > best.replica.meta.Term) {
			best = n
		}
	}
	return best
}

// stepUntil runs slots until ok returns true, at most limit slots, and returns the
// last result of ok.
func (s *simulation) stepUntil(limit int, ok func() bool) bool {
	for range limit {
		if ok() {
			return true
		}
		s.step()
	}
	return ok()
}
