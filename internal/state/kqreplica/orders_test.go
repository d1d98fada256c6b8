package kqreplica

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
)

// orders are the evacuation orders of a run.
type orders struct {
	sent   map[string]kqcontract.EvacuationOrder // by the ID of the proposal
	acked  map[string]kqcontract.Evacuation      // newest entry that was acknowledged or read, by failure domain
	counts map[string]int                        // answers by kind
}

// stepOrders now and then sends an order that names the entry which a host holds, as after
// a confirmed read, or an older one, as an order that was delayed.
func (r *blackoutRun) stepOrders() {
	n := r.pickNode()
	if l := r.leader(); l != nil && r.rng.IntN(4) > 0 {
		n = l
	}
	if !n.up || r.rng.IntN(8) > 0 {
		return
	}
	entry := n.machine.state.Evacuation(fmt.Sprint("d", r.rng.IntN(2)))
	o := kqcontract.EvacuationOrder{Domain: entry.Domain, On: r.rng.IntN(2) == 0, Revision: entry.Revision}
	if r.rng.IntN(4) == 0 {
		o.Revision = uint64(r.rng.IntN(int(entry.Revision) + 1))
	}
	data, err := json.Marshal(kqcontract.Command{Op: kqcontract.OpEvacuate, Evacuate: &o, Time: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	id := fmt.Sprint("order", len(r.orders.sent))
	r.orders.sent[id] = o
	r.feed(n, Propose{[]Proposal{{ID: id, Data: data}}})
}

// noteOrder records the answer to an order; it returns false if the ID is not of an order.
func (r *blackoutRun) noteOrder(id string, res kqcontract.Result) bool {
	if !strings.HasPrefix(id, "order") {
		return false
	}
	kind := res.Refused
	if res.Refused == "" {
		kind = map[bool]string{true: "repeat", false: "accepted"}[res.Repeat]
		o := r.orders.sent[id]
		r.promiseEvacuation(kqcontract.Evacuation{Domain: o.Domain, On: o.On, Revision: res.Accepted.Revision})
	}
	r.orders.counts[kind]++
	return true
}

func (r *blackoutRun) promiseEvacuation(e kqcontract.Evacuation) {
	if e.Revision >= r.orders.acked[e.Domain].Revision {
		r.orders.acked[e.Domain] = e
	}
}

// missingOrder names an order that was acknowledged or read and that the leader does not
// hold.
func (r *blackoutRun) missingOrder() string {
	for domain, want := range r.orders.acked {
		have := r.leader().machine.state.Evacuation(domain)
		if have.Revision < want.Revision || have.Revision == want.Revision && have.On != want.On {
			return fmt.Sprintf("entry %+v was acknowledged and is %+v", want, have)
		}
	}
	return ""
}

// TestEvacuationsSurviveBlackouts guards against a failure domain that is used again, or
// kept evacuated, after an acknowledged order because all hosts lost power: through the
// log, and through snapshots.
func TestEvacuationsSurviveBlackouts(t *testing.T) {
	seeds := min(*blackoutSeeds, 12)
	if testing.Short() {
		seeds = min(seeds, 3)
	}
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := newBlackoutRun(seed, noMutation)
			r.orders = &orders{map[string]kqcontract.EvacuationOrder{}, map[string]kqcontract.Evacuation{}, map[string]int{}}
			if msg := r.playBlackouts(); msg != "" || len(r.haltReasons) > 0 {
				t.Fatalf("seed %d: %s %v", seed, msg, r.haltReasons)
			}
			c := r.orders.counts
			if c["accepted"] == 0 || c["repeat"] == 0 || c[kqcontract.ReasonStale] == 0 {
				t.Errorf("answers to orders: %v, want some of each kind", c)
			}
			t.Logf("answers to orders: %v, %d folders lost", c, r.wiped)
		})
	}
}
