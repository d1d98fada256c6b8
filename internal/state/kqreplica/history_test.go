package kqreplica

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"

	"github.com/anishathalye/porcupine"
)

var (
	seedCount      = flag.Int("seeds", 25, "number of seeded histories to check")
	firstSeed      = flag.Uint64("first", 1, "first seed")
	checkerTimeout = flag.Duration("decide", 0, "time limit of the checker for one history, 0: none")
)

const (
	historySlots          = 1500
	statesDiverge         = "the hosts do not reach the same state"
	checkerUndecided      = "the checker did not decide in time"
	operationTimeoutSlots = 80 // slots until a client gives up an operation
)

// input is the request of one client operation.
type input struct {
	Owner   string
	Version uint64 // 0: read
	Hash    string // content of the version
}

// output is the answer that the client got.
type output struct {
	Unknown bool
	Refused string
	Hash    string // content accepted for the version, or for the last version in a read
	Version uint64
	Repeat  bool
}

// contractModel is the sequential specification: the first content of a version is
// kept, a repeated proposal gets the original answer, and versions are consecutive.
var contractModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(input).Owner
			by[k] = append(by[k], o)
		}
		var out [][]porcupine.Operation
		for _, l := range by {
			out = append(out, l)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		return stepModel(state.(string), in.(input), out.(output))
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// hashLen is the length of the name of a test content. The state of the model is the
// concatenation of the names for all versions.
const hashLen = 8

func stepModel(state string, in input, out output) (bool, any) {
	last := uint64(len(state) / hashLen)
	if in.Version == 0 {
		want := ""
		if last > 0 {
			want = state[(last-1)*hashLen:]
		}
		return out.Version == last && out.Hash == want, state
	}
	switch {
	case in.Version <= last:
		have := state[(in.Version-1)*hashLen : in.Version*hashLen]
		if have == in.Hash {
			return out.Unknown || out.Refused == "" && out.Repeat, state
		}
		return out.Unknown || out.Refused == kqcontract.ReasonTaken && out.Hash == have, state
	case in.Version > last+1:
		return out.Unknown || out.Refused == kqcontract.ReasonGap, state
	}
	return out.Unknown || out.Refused == "" && !out.Repeat, state + in.Hash
}

// client has at most one operation in flight.
type client struct {
	id        int
	op        *porcupine.Operation
	token     string // ID of the proposal or read
	node      *node
	startSlot int
	lastInput input
}

// historyRun is the simulation of one seeded history with its clients.
type historyRun struct {
	*simulation
	clients       []*client
	history       []porcupine.Operation
	sequence      int
	knownVersions map[string]uint64 // newest version of each owner that the clients know
	contentNames  map[string]string // name of a test content by the hash of its contract
	faultInterval int               // slots between two faults of one kind, on average
	fillInterval  int               // slots between two disks that become full, on average; 0: none does
	lostHost      *node             // host whose folder was lost and that is not a voter again yet
}

func newHistoryRun(seed uint64, mutant mutation) *historyRun {
	r := newEmptyHistoryRun(seed, mutant, "a", "b", "c")
	r.start(r.addHost("d")) // spare host
	return r
}

// newEmptyHistoryRun returns a run with clients, in which only the founding hosts are
// started.
func newEmptyHistoryRun(seed uint64, mutant mutation, names ...string) *historyRun {
	r := &historyRun{simulation: newSimulation(seed, mutant, names...), knownVersions: map[string]uint64{}, contentNames: map[string]string{}}
	r.onEffect = r.handleEffect
	r.faultInterval = 60 << r.rng.IntN(4)
	for i := range 4 {
		r.clients = append(r.clients, &client{id: i})
	}
	return r
}

// contract returns a contract whose content is identified by the name in in.Hash.
func (r *historyRun) contract(in input) *kqcontract.Contract {
	c := &kqcontract.Contract{Owner: in.Owner, Version: in.Version, Keys: []string{in.Hash}}
	r.contentNames[c.Hash()] = in.Hash
	return c
}

// beginOperation starts an operation of an idle client on a random host, mostly the
// leader.
func (r *historyRun) beginOperation(c *client) {
	n := r.pickNode()
	if l := r.leader(); l != nil && r.rng.IntN(4) > 0 {
		n = l
	}
	if !n.up {
		return
	}
	in := r.chooseInput(c)
	r.sequence++
	c.token, c.node, c.startSlot, c.lastInput = fmt.Sprint("op", r.sequence), n, r.slot, in
	c.op = &porcupine.Operation{ClientId: c.id, Input: in, Call: r.clock()}
	if in.Version == 0 {
		r.feed(n, Read{ID: c.token, Lazy: r.rng.IntN(2) == 0})
		return
	}
	data, err := json.Marshal(kqcontract.Command{Op: kqcontract.OpApply, Contract: r.contract(in), Time: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	r.feed(n, Propose{[]Proposal{{ID: c.token, Data: data}}})
}

// clock returns increasing times, so that calls and returns are strictly ordered.
func (r *historyRun) clock() int64 {
	r.sequence++
	return int64(r.sequence)
}

func (r *historyRun) chooseInput(c *client) input {
	owner := string(rune('x' + r.rng.IntN(2)))
	switch r.rng.IntN(5) {
	case 0, 1:
		return input{Owner: owner}
	case 2:
		if c.lastInput.Version > 0 {
			return c.lastInput // repeats the last proposal
		}
	}
	return input{Owner: owner, Version: r.knownVersions[owner] + 1, Hash: r.randomWord()}
}

// handleEffect passes an answer of a replica to the client that waits for it.
func (r *historyRun) handleEffect(n *node, e Effect) {
	for _, c := range r.clients {
		if c.op == nil || c.node != n {
			continue
		}
		switch e := e.(type) {
		case Applied:
			if e.ID == c.token {
				r.applied(c, e.Result.(kqcontract.Result))
			}
		case ProposalUnanswered:
			if e.ID == c.token {
				r.endUnknown(c, e.NotAppended)
			}
		case ReadResult:
			if e.ID == c.token {
				r.readable(c, n, e)
			}
		}
	}
}

func (r *historyRun) applied(c *client, res kqcontract.Result) {
	in := c.op.Input.(input)
	r.endOperation(c, output{Refused: res.Refused, Repeat: res.Repeat, Hash: r.contentNames[res.Accepted.Hash], Version: res.Accepted.Version})
	if res.Refused == "" || res.Refused == kqcontract.ReasonTaken {
		r.knownVersions[in.Owner] = max(r.knownVersions[in.Owner], in.Version)
	}
	if res.Refused == kqcontract.ReasonGap && r.knownVersions[in.Owner] >= res.NextVersion {
		r.knownVersions[in.Owner] = res.NextVersion - 1
	}
}

// readable ends a read with the state of the host if that is recent enough.
func (r *historyRun) readable(c *client, n *node, e ReadResult) {
	if !e.OK || n.replica.applied < e.Index {
		c.op = nil // a failed read is no evidence for the checker
		return
	}
	in := c.op.Input.(input)
	out := output{}
	if rec := n.machine.state.Owners[in.Owner]; rec != nil {
		last := rec.Accepted[len(rec.Accepted)-1]
		out.Version, out.Hash = last.Version, r.contentNames[last.Hash]
	}
	r.endOperation(c, out)
}

func (r *historyRun) endOperation(c *client, out output) {
	c.op.Output, c.op.Return = out, r.clock()
	r.history = append(r.history, *c.op)
	c.op = nil
}

// endUnknown ends an operation that may take effect at any later time or never.
func (r *historyRun) endUnknown(c *client, never bool) {
	if !never && c.op.Input.(input).Version > 0 {
		c.op.Output, c.op.Return = output{Unknown: true}, math.MaxInt64
		r.history = append(r.history, *c.op)
	}
	c.op = nil
}

func (r *historyRun) stepClients() {
	for _, c := range r.clients {
		switch {
		case c.op == nil && r.rng.IntN(3) == 0:
			r.beginOperation(c)
		case c.op != nil && (r.slot-c.startSlot > operationTimeoutSlots || !c.node.up):
			r.endUnknown(c, false)
		}
	}
}

// play runs one history and returns the fault that was found, or an empty string.
func (r *historyRun) play() string {
	if !r.stepUntil(400, func() bool { l := r.leader(); return l != nil && l.replica.commit > 0 }) {
		return "no leader at the start"
	}
	for range historySlots {
		r.injectFaults()
		r.stepClients()
		r.step()
	}
	if msg := r.settle(); msg != "" {
		return msg
	}
	switch porcupine.CheckOperationsTimeout(contractModel, r.history, *checkerTimeout) {
	case porcupine.Illegal:
		return "history is not linearizable"
	case porcupine.Unknown:
		return checkerUndecided
	}
	return ""
}

// settle ends all faults, waits until the hosts reach the same state, compares them,
// and adds a final read of each owner to the history.
func (r *historyRun) settle() string {
	r.noFaults, r.cuts = true, map[[2]string]int{}
	for _, c := range r.clients {
		if c.op != nil {
			r.endUnknown(c, false)
		}
	}
	for _, name := range r.names {
		r.nodes[name].disk.CrashAfter(-1)
		r.nodes[name].fullUntil = min(r.nodes[name].fullUntil, r.slot+1)
	}
	equal := func() bool {
		l := r.leader()
		if r.open && l != nil && !r.allVote(l) {
			return false
		}
		if r.open && l != nil {
			return r.allApplied(l)
		}
		if l == nil || !r.allDesiredVote(l) {
			return false
		}
		return !slices.ContainsFunc(r.desiredNames(l), func(name string) bool {
			n := r.nodes[name]
			return !n.up || n.replica.applied != l.replica.log.lastIndex()
		})
	}
	if !r.stepUntil(2000, equal) {
		return statesDiverge
	}
	for _, name := range r.desiredNames(r.leader()) {
		if !r.open && r.nodes[name].machine.state.Digest() != r.leader().machine.state.Digest() {
			return "states differ at the same index"
		}
	}
	for i, owner := range []string{"x", "y"} {
		c := &client{id: 100 + i, token: "last" + owner, node: r.leader()}
		c.op = &porcupine.Operation{ClientId: c.id, Input: input{Owner: owner}, Call: r.clock()}
		r.readable(c, c.node, ReadResult{OK: true})
	}
	return ""
}

// checkHistory plays one seed and returns the fault that was found, or an empty string.
// A panic of a broken replica counts as a fault.
func checkHistory(seed uint64, mutant mutation) (msg string) {
	defer func() {
		if p := recover(); p != nil {
			msg = fmt.Sprint("panic: ", p)
		}
	}()
	r := newHistoryRun(seed, mutant)
	msg = r.play()
	if len(r.haltReasons) > 0 && (msg == "" || msg == statesDiverge) {
		return "halted: " + r.haltReasons[0]
	}
	return msg
}

// requireNoFinding fails the test if a fault was found. The checker may need hours and
// gigabytes for a history with many operations of unknown outcome. If a time limit is
// set, such a seed counts as skipped, not as passed.
func requireNoFinding(t *testing.T, seed uint64, msg string) {
	t.Helper()
	switch {
	case msg == checkerUndecided && *checkerTimeout > 0:
		t.Skipf("seed %d: %s", seed, msg)
	case msg != "":
		t.Fatalf("seed %d: %s", seed, msg)
	}
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			requireNoFinding(t, seed, checkHistory(seed, noMutation))
		})
	}
}
