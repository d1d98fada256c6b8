package kqreplica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqjournal"
)

// mutation breaks a replica on purpose: the history check must notice.
type mutation string

const (
	noMutation         mutation = ""
	voteUnsynced       mutation = "vote not synced"
	lostDiskVotes      mutation = "host with a lost disk votes at once"
	commitsEarlierTerm mutation = "commits an earlier term by count"
)

// testMachine is the state of contracts, driven by JSON commands.
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

// packet is one message under way.
type packet struct {
	from, to string
	at       int // slot of its delivery
	run      int // life of the receiver that it is for, 0: any
	m        Message
}

// node is one control host of the world.
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
	removed   bool         // for good
	joinOnly  bool         // its folder was lost, or it came after the founding
	pending   []Effect     // of events that came together, not yet carried out
}

// world runs replicas over fake disks and links, one slot per tick.
type simulation struct {
	rng         *rand.Rand
	batch       int
	mutant      mutation
	founders    []MemberSpec // the founding control hosts
	open        bool         // hosts join as they ask, two lost folders at a time are borne
	nodes       map[string]*node
	names       []string
	queue       []packet
	cuts        map[[2]string]int // until which slot messages are lost
	slot        int
	noFaults    bool // no faults
	batchEvents bool // hosts hear of links, and handle what comes together at once

	compact     int // applied entries between two snapshots, 0: as usual
	haltReasons []string
	onEffect    func(n *node, e Effect)
}

func newSimulation(seed uint64, mutant mutation, names ...string) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), mutant: mutant, nodes: map[string]*node{}, cuts: map[[2]string]int{}}
	w.batch = 1 + w.rng.IntN(4)
	w.batchEvents = seed%5 != 0 && seed%5 != 4 // the seeds of TestFixedSeeds stay what they were
	if seed%5 == 2 {
		w.compact = 5 + int(seed%25) // most of what a lagging host lacks comes as a snapshot
	}
	for _, n := range names {
		w.addHost(n)
		w.founders = append(w.founders, memberSpec(n))
	}
	for _, n := range names {
		w.start(w.nodes[n])
	}
	return w
}

func (w *simulation) addHost(name string) *node {
	n := &node{name: name, disk: kqfake.NewDisk(w.rng)}
	w.nodes[name] = n
	w.names = append(w.names, name)
	return n
}

func memberSpec(name string) MemberSpec {
	return MemberSpec{Host: name, Domain: name, Peers: "127.0.0.1:1", Voter: true}
}

func (w *simulation) randomWord() string {
	return fmt.Sprintf("%08x", w.rng.Uint32())
}

func (w *simulation) start(n *node) {
	n.disk.Crash()
	journal, loaded, err := kqjournal.Open(n.disk)
	if err != nil {
		panic(fmt.Sprintf("slot %d: %s does not start: %v", w.slot, n.name, err))
	}
	if w.mutant == lostDiskVotes && loaded.Meta.Cluster == "" && n.meta.Cluster != "" {
		loaded.Meta = kqjournal.Meta{Cluster: n.meta.Cluster, Incarnation: n.meta.Incarnation, Boot: n.meta.Boot, Term: 1}
	}
	hosts := w.founders
	if !slices.ContainsFunc(hosts, func(h MemberSpec) bool { return h.Host == n.name }) {
		hosts = append(slices.Clone(hosts), memberSpec(n.name))
	}
	n.journal, n.machine = journal, &testMachine{state: kqcontract.NewState()}
	cfg := Config{
		Host: n.name, Hosts: hosts, Token: w.randomWord(), Cluster: w.randomWord(), Loaded: loaded, Machine: n.machine, Rand: w.rng, MaxBatch: w.batch, CompactEvery: w.compact,
	}
	if w.open {
		cfg.Hosts, cfg.Self, cfg.OpenMembership, cfg.Tolerance, cfg.JoinOnly = w.seedHosts(), memberSpec(n.name), true, openTolerance, n.joinOnly
	}
	r, effects, err := New(cfg)
	if err != nil {
		panic(err)
	}
	if w.mutant == commitsEarlierTerm {
		r.canCommitTerm = func(uint64) bool { return true }
	}
	n.replica, n.up, n.pending = r, true, nil
	w.perform(n, effects)
	w.announceLinks(n)
}

// link tells a host that has started, and those that are there, of their links.
func (w *simulation) announceLinks(n *node) {
	if !w.batchEvents {
		return
	}
	for _, name := range w.names {
		if o := w.nodes[name]; o != n && o.up {
			w.feed(o, LinkUp{Peer: n.name})
			w.feed(n, LinkUp{Peer: o.name})
		}
	}
}

// seeds are three control hosts as the settings of a start name them: hosts that
// are gone for good no longer stand there, dead or empty ones may.
func (w *simulation) seedHosts() []MemberSpec {
	var list []MemberSpec
	for _, name := range w.names {
		if n := w.nodes[name]; !n.removed && len(list) < len(w.founders) {
			list = append(list, memberSpec(name))
		}
	}
	return list
}

func (w *simulation) crash(n *node, slots int) {
	n.up, n.downUntil = false, w.slot+slots
	for _, name := range w.names {
		if o := w.nodes[name]; o.up && w.rng.IntN(2) == 0 {
			w.feed(o, LinkDown{Peer: n.name})
		}
	}
}

// lose gives the host an empty data folder.
func (w *simulation) loseFolder(n *node) {
	n.disk = kqfake.NewDisk(w.rng)
	n.joinOnly = true
}

func (w *simulation) feed(n *node, ev Event) {
	if !n.up {
		return
	}
	n.pending = append(n.pending, n.replica.Reduce(time.Time{}, ev)...)
	if w.batchEvents && w.rng.IntN(2) == 0 {
		return // more events may come before the effects of this one
	}
	w.flush(n)
}

// flush carries out the effects of all events so far.
func (w *simulation) flush(n *node) {
	list := Merge(n.pending)
	n.pending = nil
	w.perform(n, list)
}

// perform carries out effects in order; a disk that crashes ends the host
// before any later effect is seen.
func (w *simulation) perform(n *node, effects []Effect) {
	for _, e := range effects {
		if err := w.performOne(n, e); err != nil {
			w.crash(n, 5+w.rng.IntN(60))
			return
		}
	}
}

func (w *simulation) performOne(n *node, e Effect) error {
	switch e := e.(type) {
	case SaveMeta:
		if w.mutant == voteUnsynced && e.Meta.Vote != "" {
			n.meta = e.Meta
			return nil
		}
		n.meta = e.Meta
		return n.journal.SaveMeta(e.Meta)
	case SaveEntries:
		return n.journal.Append(e.Entries)
	case SaveSnapshot:
		return n.journal.SaveSnapshot(e.Snapshot, e.Keep)
	case Send:
		w.send(n.name, e.To, e.Message)
	case Halt:
		w.haltReasons = append(w.haltReasons, n.name+": "+e.Reason)
		w.crash(n, 10)
	default:
		if w.onEffect != nil {
			w.onEffect(n, e)
		}
	}
	return nil
}

// send queues a message; it may be lost, doubled, or late.
func (w *simulation) send(from, to string, m Message) {
	if w.nodes[to] == nil || w.cuts[[2]string{from, to}] > w.slot {
		return
	}
	p := packet{from: from, to: to, at: w.slot + w.rng.IntN(2), m: clone(m)}
	if !w.noFaults {
		switch w.rng.IntN(40) {
		case 0:
			return
		case 1:
			w.queue = append(w.queue, p)
		case 2:
			p.at += w.rng.IntN(60)
		}
	}
	w.queue = append(w.queue, p)
}

// clone passes a message as the wire would.
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

// step runs one slot: restarts, deliveries in random order, one tick for each.
func (w *simulation) step() {
	w.slot++
	for _, name := range w.names {
		if n := w.nodes[name]; !n.up && !n.removed && w.slot >= n.downUntil {
			w.start(n)
		}
	}
	w.rng.Shuffle(len(w.queue), func(i, j int) { w.queue[i], w.queue[j] = w.queue[j], w.queue[i] })
	due := w.queue
	w.queue = nil
	for _, p := range due {
		if p.at > w.slot {
			w.queue = append(w.queue, p)
			continue
		}
		w.feed(w.nodes[p.to], Received{From: p.from, Message: p.m})
	}
	for _, name := range w.names {
		if w.noFaults || w.rng.IntN(20) > 0 { // a slow host misses ticks
			w.feed(w.nodes[name], Tick{})
		}
	}
	for _, name := range w.names {
		if n := w.nodes[name]; n.up {
			w.flush(n)
		}
	}
}

// cut loses the messages from one host to another for a while.
func (w *simulation) cutLink(from, to string, slots int) {
	w.cuts[[2]string{from, to}] = w.slot + slots
}

func (w *simulation) pickNode() *node {
	return w.nodes[w.names[w.rng.IntN(len(w.names))]]
}

// leader returns the leader of the highest term, nil if none.
func (w *simulation) leader() *node {
	var best *node
	for _, name := range w.names {
		n := w.nodes[name]
		if n.up && n.replica.role == Leader && (best == nil || n.replica.meta.Term > best.replica.meta.Term) {
			best = n
		}
	}
	return best
}

// until steps until ok, at most limit slots.
func (w *simulation) stepUntil(limit int, ok func() bool) bool {
	for range limit {
		if ok() {
			return true
		}
		w.step()
	}
	return ok()
}
