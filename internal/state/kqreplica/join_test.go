package kqreplica

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqjournal"
)

// newLoneReplica returns the replica of host d without a simulation around it.
func newLoneReplica(t *testing.T, loaded kqjournal.Loaded) *Replica {
	t.Helper()
	r, _, err := New(Config{
		Host: "d", Hosts: []MemberSpec{memberSpec("a"), memberSpec("b"), memberSpec("c")}, Token: "t", Cluster: "k", Loaded: loaded,
		Machine: &testMachine{state: kqcontract.NewState()}, Rand: rand.New(rand.NewPCG(1, 1)), OpenMembership: true, Tolerance: 2, JoinOnly: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func encodedRun(incarnation string) string {
	return EncodeRun(kqjournal.Run{Incarnation: incarnation, Boot: 1, Token: "x"})
}

// sentKinds returns the kinds of the messages to the host among the effects.
func sentKinds(effects []Effect, to string) []string {
	var kinds []string
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.To == to {
			kinds = append(kinds, s.Message.Kind)
		}
	}
	return kinds
}

// loadedWithMembers returns a data folder whose log holds only a member list.
func loadedWithMembers(list ...Member) kqjournal.Loaded {
	return kqjournal.Loaded{
		Meta:    kqjournal.Meta{Cluster: "k", Incarnation: "i-d", Term: 3},
		Entries: []kqjournal.Entry{{Index: 1, Term: 3, Kind: entryMembers, Data: encodeMembers(list)}},
	}
}

func testMember(host string, voter bool) Member {
	return Member{Host: host, Domain: host, Peers: "127.0.0.1:1", Incarnation: "i-" + host, Voter: voter}
}

// Guards against a host that lost its folder and never joins again: all seed hosts may
// be down or without a cluster too, so that it must send a hello to a member that still
// lists its lost folder and sends it entries.
func TestUnjoinedHostSendsHelloToMemberThatKnowsIt(t *testing.T) {
	r := newLoneReplica(t, kqjournal.Loaded{})
	effects := r.Reduce(time.Time{}, Received{From: "n09", Message: Message{Kind: kindAppend, Run: encodedRun("i"), Cluster: "k", Term: 4}})
	if kinds := sentKinds(effects, "n09"); !slices.Contains(kinds, kindHello) {
		t.Fatalf("answers %v", kinds)
	}
}

// Guards against a non-voter that keeps a failed leader forever: it would not ask to join
// again, and would refuse the only candidate.
func TestNonVoterForgetsSilentLeader(t *testing.T) {
	r := newLoneReplica(t, loadedWithMembers(testMember("a", true), testMember("b", true), testMember("d", false)))
	r.Reduce(time.Time{}, Received{From: "b", Message: Message{
		Kind: kindAppend, Run: encodedRun("i-b"), Cluster: "k", Term: 3, Index: 1, LogTerm: 3,
	}})
	preVote := Received{From: "a", Message: Message{Kind: kindPreVote, Run: encodedRun("i-a"), Cluster: "k", Term: 4, Index: 2, LogTerm: 3}}
	granted := func() bool {
		for _, e := range r.Reduce(time.Time{}, preVote) {
			if s, ok := e.(Send); ok && s.Message.Kind == kindPreVoteReply {
				return s.Message.OK
			}
		}
		return false
	}
	if granted() {
		t.Fatal("grants a pre-vote right after it heard from a leader")
	}
	helloSent := false
	for range 2 * (electionTicks + electionSpread) {
		helloSent = helloSent || slices.Contains(sentKinds(r.Reduce(time.Time{}, Tick{}), "a"), kindHello)
	}
	if !helloSent || !granted() {
		t.Fatalf("sent hello: %v, granted pre-vote: %v", helloSent, granted())
	}
}

// Guards against a delayed message that replaces a member's data folder by a former
// one: only the answer to the pending identity request may replace the folder.
func TestLateIdentityDoesNotReplaceMember(t *testing.T) {
	r := newLeader(t, testMember("d", true), testMember("n1", false))
	effects := r.Reduce(time.Time{}, Received{From: "n1", Message: Message{Kind: kindHello, Run: encodedRun("old")}})
	if !slices.Contains(sentKinds(effects, "n1"), kindIdentify) || len(r.joiners) != 0 {
		t.Fatalf("a hello alone adds a joiner: %v", r.joiners)
	}
	id := r.identityRequests["n1"]
	answer := func(incarnation, id string) {
		r.Reduce(time.Time{}, Received{From: "n1", Message: Message{
			Kind: kindIdentity, Run: encodedRun(incarnation), ID: id, Members: []Member{{Host: "n1", Domain: "a", Peers: "127.0.0.1:9"}},
		}})
	}
	answer("old", "0.0")
	if len(r.joiners) != 0 {
		t.Fatal("an answer to another identity request adds a joiner")
	}
	answer("new", id)
	answer("old", id) // delayed
	if j := r.joiners["n1"]; j.Incarnation != "new" {
		t.Fatalf("joiner %+v", j)
	}
}

// Guards against a new host that cannot join because the leader is not among its seed
// hosts, so that there is no link between them: a follower forwards its hello.
func TestUnknownHostJoinsThroughFollower(t *testing.T) {
	r := newLeader(t, testMember("d", true), testMember("a", false))
	joiner := Member{Host: "n1", Domain: "z", Peers: "127.0.0.1:9", Incarnation: "i-n1"}
	effects := r.Reduce(time.Time{}, Received{From: "a", Message: Message{Kind: kindForwardHello, Run: encodedRun("i-a"), Cluster: "k", Members: []Member{joiner}}})
	if len(sentKinds(effects, "n1")) != 0 {
		t.Fatal("the leader sends to a host that it has no link to")
	}
	r.Reduce(time.Time{}, Tick{})
	if m, ok := findMember(r.members, "n1"); !ok || m != joiner {
		t.Fatalf("members %+v", r.members)
	}
}

// newLeader returns the replica of d as leader of the members, of which it is the only
// voter.
func newLeader(t *testing.T, list ...Member) *Replica {
	t.Helper()
	r := newLoneReplica(t, loadedWithMembers(list...))
	for range 2 * (electionTicks + electionSpread) {
		if r.role == Leader {
			return r
		}
		r.Reduce(time.Time{}, Tick{})
	}
	t.Fatalf("role %s", r.role)
	return nil
}

// TestFirstStartInterrupted guards against seeds that never form a cluster, since the process of
// one ended during the first start: its settings say that it may only join from then on, though its
// folder is the one of the first start. A lost folder, and one of other seeds, may only join.
func TestFirstStartInterrupted(t *testing.T) {
	start := func(loaded kqjournal.Loaded, joinOnly bool, hosts ...string) (*Replica, kqjournal.Meta) {
		var list []MemberSpec
		for _, h := range hosts {
			list = append(list, memberSpec(h))
		}
		r, effects, err := New(Config{
			Host: "a", Hosts: list, Token: "t", Cluster: "k", Loaded: loaded, Machine: &testMachine{state: kqcontract.NewState()},
			Rand: rand.New(rand.NewPCG(1, 1)), OpenMembership: true, Tolerance: 2, JoinOnly: joinOnly,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range effects {
			if s, ok := e.(SaveMeta); ok {
				return r, s.Meta
			}
		}
		t.Fatal("nothing is saved at the start")
		return nil, kqjournal.Meta{}
	}
	_, first := start(kqjournal.Loaded{}, false, "a", "b", "c")
	_, lost := start(kqjournal.Loaded{}, true, "a", "b", "c")
	member := first
	member.Cluster = "k"
	for _, c := range []struct {
		name  string
		meta  kqjournal.Meta
		hosts []string
		may   bool
	}{
		{"same folder", first, []string{"c", "b", "a"}, true},
		{"other seeds", first, []string{"a", "b", "d"}, false},
		{"fewer seeds", first, []string{"a", "b"}, false},
		{"lost folder", lost, []string{"a", "b", "c"}, false},
		{"folder of a cluster", member, []string{"a", "b", "c"}, false},
		{"empty folder", kqjournal.Meta{}, []string{"a", "b", "c"}, false},
	} {
		r, saved := start(kqjournal.Loaded{Meta: c.meta}, true, c.hosts...)
		effects := r.Reduce(time.Time{}, Received{From: "b", Message: Message{Kind: kindHello, Run: encodedRun("i"), Members: []Member{testMember("b", false)}}})
		may := false
		for _, e := range effects {
			if s, ok := e.(Send); ok && s.Message.Kind == kindHelloReply {
				may = s.Message.OK
			}
		}
		if may != c.may {
			t.Errorf("%s: may found a cluster: %v, want %v", c.name, may, c.may)
		}
		if again, _ := start(kqjournal.Loaded{Meta: saved}, true, c.hosts...); again.cfg.JoinOnly == c.may && c.meta.Cluster == "" {
			t.Errorf("%s: at the next start: join only %v", c.name, again.cfg.JoinOnly)
		}
	}
}

// TestFoundersCrashWhileForming plays first starts during which processes of the founders end again
// and again and keep their folders: the cluster forms once they stay up, and no second one does.
func TestFoundersCrashWhileForming(t *testing.T) {
	const crashSlots, formSlots = 40, 2000
	for seed := range uint64(200) {
		r := newOpenHistoryRun(seed, noMutation)
		for range crashSlots {
			if n := r.pickNode(); n.up && r.rng.IntN(4) == 0 {
				r.crash(n, 1+r.rng.IntN(3))
			}
			r.step()
		}
		if !r.stepUntil(formSlots, func() bool { l := r.leader(); return l != nil && r.allVote(l) }) {
			t.Fatalf("seed %d: no cluster of all hosts", seed)
		}
		clusters := map[string]bool{}
		for _, n := range r.nodes {
			clusters[n.replica.meta.Cluster] = true
		}
		if len(clusters) != 1 {
			t.Fatalf("seed %d: clusters %v", seed, clusters)
		}
	}
}
