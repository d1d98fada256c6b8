package kqreplica

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqjournal"
)

// lone returns the replica of host d without a world around it.
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

// sent returns the kinds of messages to the host among the effects.
func sentKinds(effects []Effect, to string) []string {
	var kinds []string
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.To == to {
			kinds = append(kinds, s.Message.Kind)
		}
	}
	return kinds
}

// withMembers is a folder whose log holds only a member list.
func loadedWithMembers(list ...Member) kqjournal.Loaded {
	return kqjournal.Loaded{
		Meta:    kqjournal.Meta{Cluster: "k", Incarnation: "i-d", Term: 3},
		Entries: []kqjournal.Entry{{Index: 1, Term: 3, Kind: entryMembers, Data: encodeMembers(list)}},
	}
}

func testMember(host string, voter bool) Member {
	return Member{Host: host, Domain: host, Peers: "127.0.0.1:1", Incarnation: "i-" + host, Voter: voter}
}

// TestBlankHostTellsWhoTakesItForAMember: all seeds may be gone or as empty, and
// only a member that still counts the lost folder knows this host.
func TestUnjoinedHostSendsHelloToMemberThatKnowsIt(t *testing.T) {
	r := newLoneReplica(t, kqjournal.Loaded{})
	effects := r.Reduce(time.Time{}, Received{From: "n09", Message: Message{Kind: kindAppend, Run: encodedRun("i"), Cluster: "k", Term: 4}})
	if kinds := sentKinds(effects, "n09"); !slices.Contains(kinds, kindHello) {
		t.Fatalf("answers %v", kinds)
	}
}

// TestNonVoterForgetsItsLeader: it must ask to join again, and must not hold up
// the only candidate by having heard a leader long ago.
func TestNonVoterForgetsSilentLeader(t *testing.T) {
	r := newLoneReplica(t, loadedWithMembers(testMember("a", true), testMember("b", true), testMember("d", false)))
	r.Reduce(time.Time{}, Received{From: "b", Message: Message{
		Kind: kindAppend, Run: encodedRun("i-b"), Cluster: "k", Term: 3, Index: 1, LogTerm: 3,
	}})
	ask := Received{From: "a", Message: Message{Kind: kindPreVote, Run: encodedRun("i-a"), Cluster: "k", Term: 4, Index: 2, LogTerm: 3}}
	granted := func() bool {
		for _, e := range r.Reduce(time.Time{}, ask) {
			if s, ok := e.(Send); ok && s.Message.Kind == kindPreVoteReply {
				return s.Message.OK
			}
		}
		return false
	}
	if granted() {
		t.Fatal("votes against a leader that it has just heard")
	}
	asked := false
	for range 2 * (electionTicks + electionSpread) {
		asked = asked || slices.Contains(sentKinds(r.Reduce(time.Time{}, Tick{}), "a"), kindHello)
	}
	if !asked || !granted() {
		t.Fatalf("asks to join: %v, votes: %v", asked, granted())
	}
}

// TestLateFolderTakesNoPlace: only the answer to the question that is open now
// puts another folder in a member's place.
func TestLateIdentityDoesNotReplaceMember(t *testing.T) {
	r := newLeader(t, testMember("d", true), testMember("n1", false))
	effects := r.Reduce(time.Time{}, Received{From: "n1", Message: Message{Kind: kindHello, Run: encodedRun("old")}})
	if !slices.Contains(sentKinds(effects, "n1"), kindIdentify) || len(r.joiners) != 0 {
		t.Fatalf("a hello alone makes a joiner: %v", r.joiners)
	}
	id := r.identityRequests["n1"]
	answer := func(incarnation, id string) {
		r.Reduce(time.Time{}, Received{From: "n1", Message: Message{
			Kind: kindIdentity, Run: encodedRun(incarnation), ID: id, Members: []Member{{Host: "n1", Domain: "a", Peers: "127.0.0.1:9"}},
		}})
	}
	answer("old", "0.0")
	if len(r.joiners) != 0 {
		t.Fatal("an answer to another question makes a joiner")
	}
	answer("new", id)
	answer("old", id) // late
	if j := r.joiners["n1"]; j.Incarnation != "new" {
		t.Fatalf("joiner %+v", j)
	}
}

// TestUnknownHostJoinsThroughAnother: a host that only knows its seeds has no
// link to a leader that is none of them, and must come in all the same.
func TestUnknownHostJoinsThroughFollower(t *testing.T) {
	r := newLeader(t, testMember("d", true), testMember("a", false))
	asks := Member{Host: "n1", Domain: "z", Peers: "127.0.0.1:9", Incarnation: "i-n1"}
	effects := r.Reduce(time.Time{}, Received{From: "a", Message: Message{Kind: kindForwardHello, Run: encodedRun("i-a"), Cluster: "k", Members: []Member{asks}}})
	if len(sentKinds(effects, "n1")) != 0 {
		t.Fatal("sends to a host that it has no link to")
	}
	r.Reduce(time.Time{}, Tick{})
	if m, ok := findMember(r.members, "n1"); !ok || m != asks {
		t.Fatalf("members %+v", r.members)
	}
}

// leading returns the replica of d as leader of the members, of which it is the
// only voter.
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
