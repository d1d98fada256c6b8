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
	seeds     = flag.Int("seeds", 25, "seeded histories to check")
	firstSeed = flag.Uint64("first", 1, "first seed")
	decide    = flag.Duration("decide", 0, "time for the checker to decide one history, 0: as long as it takes")
)

const (
	historySlots = 1500
	notEqual     = "the hosts do not come to the same state"
	undecided    = "the checker did not decide in time"
	patience     = 80 // slots until a client gives an operation up
)

// input is one operation of a client.
type input struct {
	Owner   string
	Version uint64 // 0: read
	Hash    string // content of the version
}

// output is what the client was told.
type output struct {
	Unknown bool
	Refused string
	Hash    string // content that stands for the version, or the last version's
	Version uint64
	Repeat  bool
}

// contractModel is the sequential rule: the first content of a version wins, a
// repeat gets the original answer, versions follow one another.
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

// hashLen is the length of a test content's name; the model's state is the
// contents of all versions in a row.
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

// client has at most one operation under way.
type client struct {
	id    int
	op    *porcupine.Operation
	token string // proposal or read
	node  *node
	since int
	last  input
}

// run is one seeded history.
type run struct {
	*world
	clients []*client
	history []porcupine.Operation
	next    int
	known   map[string]uint64 // versions the clients have seen
	hashes  map[string]string // real hash to test name
	rate    int               // slots between two faults, on the average, times six
	lostOne *node             // host whose folder was lost and is not repaired
}

func newRun(seed uint64, mutant mutation) *run {
	r := newBareRun(seed, mutant, "a", "b", "c")
	r.start(r.addHost("d")) // a spare
	return r
}

// newBareRun returns a run with the founding hosts started.
func newBareRun(seed uint64, mutant mutation, names ...string) *run {
	r := &run{world: newWorld(seed, mutant, names...), known: map[string]uint64{}, hashes: map[string]string{}}
	r.onOut = r.out
	r.rate = 60 << r.rng.IntN(4)
	for i := range 4 {
		r.clients = append(r.clients, &client{id: i})
	}
	return r
}

// contract makes a contract whose content is told apart by its name.
func (r *run) contract(in input) *kqcontract.Contract {
	c := &kqcontract.Contract{Owner: in.Owner, Version: in.Version, Keys: []string{in.Hash}}
	r.hashes[c.Hash()] = in.Hash
	return c
}

// begin starts an operation of an idle client on a random host.
func (r *run) begin(c *client) {
	n := r.pick()
	if l := r.leader(); l != nil && r.rng.IntN(4) > 0 {
		n = l
	}
	if !n.up {
		return
	}
	in := r.choose(c)
	r.next++
	c.token, c.node, c.since, c.last = fmt.Sprint("op", r.next), n, r.slot, in
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

// clock orders calls and returns strictly.
func (r *run) clock() int64 {
	r.next++
	return int64(r.next)
}

func (r *run) choose(c *client) input {
	owner := string(rune('x' + r.rng.IntN(2)))
	switch r.rng.IntN(5) {
	case 0, 1:
		return input{Owner: owner}
	case 2:
		if c.last.Version > 0 {
			return c.last // a resend
		}
	}
	return input{Owner: owner, Version: r.known[owner] + 1, Hash: r.word()}
}

// out hears what a replica answers.
func (r *run) out(n *node, e Effect) {
	for _, c := range r.clients {
		if c.op == nil || c.node != n {
			continue
		}
		switch e := e.(type) {
		case Applied:
			if e.ID == c.token {
				r.applied(c, e.Result.(kqcontract.Result))
			}
		case Unknown:
			if e.ID == c.token {
				r.unknown(c, e.Never)
			}
		case Readable:
			if e.ID == c.token {
				r.readable(c, n, e)
			}
		}
	}
}

func (r *run) applied(c *client, res kqcontract.Result) {
	in := c.op.Input.(input)
	r.end(c, output{Refused: res.Refused, Repeat: res.Repeat, Hash: r.hashes[res.Accepted.Hash], Version: res.Accepted.Version})
	if res.Refused == "" || res.Refused == kqcontract.ReasonTaken {
		r.known[in.Owner] = max(r.known[in.Owner], in.Version)
	}
	if res.Refused == kqcontract.ReasonGap && r.known[in.Owner] >= res.NextVersion {
		r.known[in.Owner] = res.NextVersion - 1
	}
}

// readable ends a read with the state of the host, once that is far enough.
func (r *run) readable(c *client, n *node, e Readable) {
	if !e.OK || n.replica.applied < e.Index {
		c.op = nil // a read that failed tells nothing
		return
	}
	in := c.op.Input.(input)
	out := output{}
	if rec := n.machine.state.Owners[in.Owner]; rec != nil {
		last := rec.Accepted[len(rec.Accepted)-1]
		out.Version, out.Hash = last.Version, r.hashes[last.Hash]
	}
	r.end(c, out)
}

func (r *run) end(c *client, out output) {
	c.op.Output, c.op.Return = out, r.clock()
	r.history = append(r.history, *c.op)
	c.op = nil
}

// unknown ends an operation that may take effect at any later time, or never.
func (r *run) unknown(c *client, never bool) {
	if !never && c.op.Input.(input).Version > 0 {
		c.op.Output, c.op.Return = output{Unknown: true}, math.MaxInt64
		r.history = append(r.history, *c.op)
	}
	c.op = nil
}

func (r *run) clientsStep() {
	for _, c := range r.clients {
		switch {
		case c.op == nil && r.rng.IntN(3) == 0:
			r.begin(c)
		case c.op != nil && (r.slot-c.since > patience || !c.node.up):
			r.unknown(c, false)
		}
	}
}

// play runs one history and returns what was wrong, empty if nothing.
func (r *run) play() string {
	if !r.until(400, func() bool { l := r.leader(); return l != nil && l.replica.commit > 0 }) {
		return "no leader at the start"
	}
	for range historySlots {
		r.faults()
		r.clientsStep()
		r.step()
	}
	if msg := r.settle(); msg != "" {
		return msg
	}
	switch porcupine.CheckOperationsTimeout(contractModel, r.history, *decide) {
	case porcupine.Illegal:
		return "history is not linearizable"
	case porcupine.Unknown:
		return undecided
	}
	return ""
}

// settle ends all faults, reads everything once more, and compares the hosts.
func (r *run) settle() string {
	r.calm, r.cuts = true, map[[2]string]int{}
	for _, c := range r.clients {
		if c.op != nil {
			r.unknown(c, false)
		}
	}
	for _, name := range r.names {
		r.nodes[name].disk.CrashIn(-1)
	}
	equal := func() bool {
		l := r.leader()
		if r.open && l != nil && !r.allOpen(l) {
			return false
		}
		if r.open && l != nil {
			return r.sameApplied(l)
		}
		if l == nil || !r.allCount(l) {
			return false
		}
		return !slices.ContainsFunc(r.wanted(l), func(name string) bool {
			n := r.nodes[name]
			return !n.up || n.replica.applied != l.replica.log.last()
		})
	}
	if !r.until(2000, equal) {
		return notEqual
	}
	for _, name := range r.wanted(r.leader()) {
		if !r.open && r.nodes[name].machine.state.Digest() != r.leader().machine.state.Digest() {
			return "states differ at the same index"
		}
	}
	for i, owner := range []string{"x", "y"} {
		c := &client{id: 100 + i, token: "last" + owner, node: r.leader()}
		c.op = &porcupine.Operation{ClientId: c.id, Input: input{Owner: owner}, Call: r.clock()}
		r.readable(c, c.node, Readable{OK: true})
	}
	return ""
}

// check plays one seed and turns a panic of a broken replica into a finding.
func check(seed uint64, mutant mutation) (msg string) {
	defer func() {
		if p := recover(); p != nil {
			msg = fmt.Sprint("panic: ", p)
		}
	}()
	r := newRun(seed, mutant)
	msg = r.play()
	if len(r.halts) > 0 && (msg == "" || msg == notEqual) {
		return "halted: " + r.halts[0]
	}
	return msg
}

// verdict fails the test for what was wrong. A history with many operations of
// unknown outcome may take the checker hours and gigabytes; where a limit is set
// such a seed counts as skipped, not as passed.
func verdict(t *testing.T, seed uint64, msg string) {
	t.Helper()
	switch {
	case msg == undecided && *decide > 0:
		t.Skipf("seed %d: %s", seed, msg)
	case msg != "":
		t.Fatalf("seed %d: %s", seed, msg)
	}
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			verdict(t, seed, check(seed, noMutation))
		})
	}
}
