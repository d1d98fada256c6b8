package kqreplica

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
)

var blackoutSeeds = flag.Int("blackouts", 25, "number of seeded runs in which hosts lose their folders right after an acknowledgement")

const (
	blackoutSlots   = 400  // slots with faults and clients before an answer may bring a blackout
	blackoutRounds  = 4    // blackouts of one run
	maxBlackoutWait = 900  // slots after which a blackout comes even if little was acknowledged
	recoverySlots   = 2000 // slots within which all hosts must vote again
	maxInFlightOps  = 12   // disk operations that a host may finish while it loses power
	stormClients    = 16
)

// blackoutRun is a history in which, in the same step as an acknowledgement, as many hosts
// as tolerated lose their folders while all the others lose power.
type blackoutRun struct {
	*historyRun
	acked  map[string][]string // hashes of the versions of each owner that were acknowledged or read
	lost   []string            // hosts whose folders were lost or that were replaced, until all vote again
	due    int                 // answers until the blackout, 0: none comes
	wiped  int                 // folders lost in blackouts
	dark   bool                // the blackout has come
	joins  int                 // blackouts while a host was joining
	inSave int                 // hosts that lost power during a write
	full   int                 // hosts that lost power while their disk was full
	leads  int                 // blackouts in which the acknowledging host lost its folder
	reads  int                 // blackouts right after a read
	orders *orders             // of failure domains, nil: none are sent
}

func newBlackoutRun(seed uint64, mutant mutation) *blackoutRun {
	r := &blackoutRun{historyRun: newOpenHistoryRun(seed, mutant), acked: map[string][]string{}}
	if seed%2 == 0 {
		r.compact = 3 + int(seed%20)
	}
	if seed%3 != 0 {
		r.fillInterval = 60
	}
	if seed%4 == 1 { // a storm of changes
		for i := len(r.clients); i < stormClients; i++ {
			r.clients = append(r.clients, &client{id: i})
		}
	}
	for _, name := range r.names {
		r.nodes[name].disk.TearAnywhere()
	}
	r.onEffect = r.noteAnswer
	return r
}

// noteAnswer records what an answer promises, and lets the blackout follow at once.
func (r *blackoutRun) noteAnswer(n *node, e Effect) {
	isRead := false
	switch e := e.(type) {
	case Applied:
		res, ok := e.Result.(kqcontract.Result)
		if ok && res.Refused != "" {
			r.noteOrder(e.ID, res)
		}
		if !ok || e.ID == "" || res.Refused != "" {
			r.handleEffect(n, e)
			return
		}
		if !r.noteOrder(e.ID, res) {
			r.promise(res.Accepted.Owner, res.Accepted.Version, res.Accepted.Hash)
		}
	case ReadResult:
		if !e.OK || n.replica.applied < e.Index {
			r.handleEffect(n, e)
			return
		}
		isRead = true
		for _, entry := range n.machine.state.Evacuations {
			r.promiseEvacuation(entry)
		}
		for owner, rec := range n.machine.state.Owners {
			for _, a := range rec.Accepted {
				r.promise(owner, a.Version, a.Hash)
			}
		}
	default:
		r.handleEffect(n, e)
		return
	}
	r.handleEffect(n, e)
	if r.due == 0 {
		return
	}
	if r.due--; r.due == 0 {
		if isRead {
			r.reads++
		}
		r.blackout(n)
	}
}

func (r *blackoutRun) promise(owner string, version uint64, hash string) {
	list := r.acked[owner]
	for uint64(len(list)) < version {
		list = append(list, "")
	}
	list[version-1] = hash
	r.acked[owner] = list
}

// blackout takes power from all hosts and the folders from as many as may still be lost.
// A host that was about to write gets a part of it done.
func (r *blackoutRun) blackout(acknowledging *node) {
	r.dark = true
	r.noteRepaired()
	isAcknowledging := func(n *node) bool { return n == acknowledging }
	allowed := openTolerance - len(r.lost)
	if len(r.lost) > 0 {
		r.joins++
	}
	order := r.rng.Perm(len(r.names))
	if r.rng.IntN(2) == 0 { // those with the newest entries lose their folders
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(r.lastIndex(b), r.lastIndex(a)) })
	}
	for _, i := range order {
		n := r.nodes[r.names[i]]
		if n.removed {
			continue
		}
		if n.up {
			r.loseDuringWrite(n, isAcknowledging(n))
		}
		n.up, n.downUntil, n.pending = false, r.slot+1+r.rng.IntN(20), nil
		if allowed > 0 && !slices.Contains(r.lost, n.name) {
			allowed--
			r.wiped++
			r.loseFolder(n)
			n.disk.TearAnywhere()
			r.lost = append(r.lost, n.name)
			if isAcknowledging(n) {
				r.leads++
			}
		}
	}
}

// lastIndex returns the index of the last log entry of the host with that number.
func (r *blackoutRun) lastIndex(i int) uint64 {
	if n := r.nodes[r.names[i]]; n.replica != nil {
		return n.replica.log.lastIndex()
	}
	return 0
}

// loseDuringWrite lets the host write a part of what it has to save. Its messages are
// never sent.
func (r *blackoutRun) loseDuringWrite(n *node, isPerforming bool) {
	if n.full {
		r.full++
	}
	list := n.pending
	if !isPerforming && !n.full {
		for _, p := range r.queue { // messages that arrive at the last moment
			if p.to == n.name && r.rng.IntN(2) == 0 {
				list = append(list, n.replica.Reduce(time.Time{}, Received{From: p.from, Message: clone(p.m)})...)
			}
		}
	}
	n.disk.CrashAfter(r.rng.IntN(maxInFlightOps))
	for _, e := range list {
		if isSave(e) && r.performOne(n, e) != nil {
			r.inSave++
			return
		}
	}
}

// noteRepaired forgets the lost folders once all hosts vote and hold what was committed.
func (r *blackoutRun) noteRepaired() {
	if l := r.leader(); l != nil && r.allVote(l) && r.caughtUp(l) {
		r.lost = nil
	}
}

// injectBlackoutFaults causes the faults of a history, but loses folders and replaces
// hosts only as far as the tolerance goes.
func (r *blackoutRun) injectBlackoutFaults() {
	r.noteRepaired()
	if r.fillInterval > 0 && r.rng.IntN(r.fillInterval) == 0 {
		r.fill(r.pickNode(), 1+r.rng.IntN(150))
	}
	switch n := r.rng.IntN(r.faultInterval); n {
	default:
		r.injectCommonFault(n)
	case 4:
		r.partition(30 + r.rng.IntN(100))
	case 5:
		if n := r.pickNode(); n.up {
			n.stalledUntil = r.slot + 5 + r.rng.IntN(80)
		}
	case 6:
		r.loseOne()
	case 7:
		if n := len(r.names); len(r.lost) == 0 {
			r.replaceOneHost()
			if len(r.names) > n {
				next := r.names[n]
				r.nodes[next].disk.TearAnywhere()
				r.lost = append(r.lost, next)
			}
		}
	}
}

// loseOne empties the folder of one host, which then joins again while all goes on.
func (r *blackoutRun) loseOne() {
	n := r.pickNode()
	if len(r.lost) > 0 || n.removed || !n.up {
		return
	}
	r.crash(n, 3+r.rng.IntN(20))
	r.loseFolder(n)
	n.disk.TearAnywhere()
	r.lost = append(r.lost, n.name)
}

// playBlackouts plays one run and returns the fault that was found, or an empty string.
func (r *blackoutRun) playBlackouts() string {
	for range blackoutRounds {
		if msg := r.recover(); msg != "" {
			return msg
		}
		r.noFaults, r.dark = false, false
		startsAt := r.rng.IntN(blackoutSlots)
		for slot := 0; !r.dark; slot++ {
			if slot == startsAt {
				r.due = 1 + r.rng.IntN(8)
			}
			if slot > maxBlackoutWait { // no answer came: faults outlast each other
				r.due = 0
				r.blackout(r.pickNode())
				break
			}
			r.injectBlackoutFaults()
			r.stepClients()
			if r.orders != nil && !r.dark {
				r.stepOrders()
			}
			if !r.dark {
				r.step()
			}
		}
		r.forgetClients()
	}
	return r.recover()
}

// recover ends all faults and returns what is missing once all hosts vote again.
func (r *blackoutRun) recover() string {
	r.noFaults, r.cuts = true, map[[2]string]int{}
	for _, name := range r.names {
		n := r.nodes[name]
		n.disk.CrashAfter(-1)
		n.fullUntil, n.stalledUntil = min(n.fullUntil, r.slot+1), 0
	}
	if !r.stepUntil(recoverySlots, func() bool { l := r.leader(); return l != nil && r.allVote(l) && r.caughtUp(l) }) {
		return statesDiverge
	}
	return r.missing()
}

// forgetClients ends the operations that the blackout left without an answer.
func (r *blackoutRun) forgetClients() {
	for _, c := range r.clients {
		c.op = nil
	}
}

// missing names a change that was acknowledged or read and that the leader does not hold.
func (r *blackoutRun) missing() string {
	for owner, hashes := range r.acked {
		rec := r.leader().machine.state.Owners[owner]
		for i, hash := range hashes {
			if hash == "" {
				continue
			}
			if rec == nil || i >= len(rec.Accepted) || rec.Accepted[i].Hash != hash {
				return fmt.Sprintf("version %d of %s was acknowledged and is gone", i+1, owner)
			}
		}
	}
	if r.orders != nil {
		return r.missingOrder()
	}
	return ""
}

// checkBlackouts plays one seed and returns the fault that was found, or an empty string.
// A panic counts as a fault.
func checkBlackouts(seed uint64, mutant mutation) string {
	msg, _ := runBlackouts(seed, mutant)
	return msg
}

func runBlackouts(seed uint64, mutant mutation) (msg string, r *blackoutRun) {
	defer func() {
		if p := recover(); p != nil {
			msg = fmt.Sprint("panic: ", p)
		}
	}()
	r = newBlackoutRun(seed, mutant)
	msg = r.playBlackouts()
	if len(r.haltReasons) > 0 && (msg == "" || msg == statesDiverge) {
		return "halted: " + r.haltReasons[0], r
	}
	return msg, r
}

// TestAcknowledgedChangesSurviveBlackouts guards against changes that are acknowledged, or
// shown to a reader, while too few hosts have synced them: right after the answer as many
// hosts as tolerated lose their folders and all the others lose power.
func TestAcknowledgedChangesSurviveBlackouts(t *testing.T) {
	seeds := *blackoutSeeds
	if testing.Short() {
		seeds = min(seeds, 5) // the race detector makes each run ten times as long
	}
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			msg, r := runBlackouts(seed, noMutation)
			if msg != "" {
				t.Fatalf("seed %d: %s", seed, msg)
			}
			t.Logf("%d owners, %d folders lost, %d of them of the answering host; %d blackouts while a host joined, %d after a read; %d hosts in a write, %d with a full disk",
				len(r.acked), r.wiped, r.leads, r.joins, r.reads, r.inSave, r.full)
		})
	}
}
