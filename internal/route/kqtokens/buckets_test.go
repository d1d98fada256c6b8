package kqtokens

import (
	"testing"
	"time"

	"kumquatglade/internal/state/kqreplica"
	"kumquatglade/internal/state/kqroutes"
)

var (
	testStart  = time.Unix(1_700_000_000, 0)
	testParams = NewParams(0, 0, 0)
)

func owner(name string, rate, burst float64) kqroutes.Owner {
	return kqroutes.Owner{Name: name, Rate: rate, Burst: burst}
}

// drain takes all tokens that a bucket has.
func drain(b *Buckets, name string, now time.Time) (n int) {
	for b.Take(Want{Owner: name, Count: 1}, now).Count == 1 {
		n++
	}
	return n
}

// TestBuckets guards against a share above rate/n and burst/n: after a freeze, with a new
// document, or with another number of voters.
func TestBuckets(t *testing.T) {
	const voters = 5
	rounding := testParams.rounding(voters) // 2.2
	for _, c := range []struct {
		name string
		do   func(b *Buckets) time.Time
		want int
	}{
		{"started", func(*Buckets) time.Time { return testStart }, startTokens},
		{"full after an hour", func(*Buckets) time.Time { return testStart.Add(time.Hour) }, int(10 + rounding)},
		{"half a second", func(*Buckets) time.Time { return testStart.Add(500 * time.Millisecond) }, startTokens + 5},
		{"clock set back", func(*Buckets) time.Time { return testStart.Add(-time.Hour) }, startTokens},
		{"lowered limit", func(b *Buckets) time.Time {
			b.Set(1, []kqroutes.Owner{owner("a", 5, 5)}, voters, testStart.Add(time.Hour))
			return testStart.Add(time.Hour)
		}, int(1 + rounding)},
		{"more voters", func(b *Buckets) time.Time {
			b.Set(1, []kqroutes.Owner{owner("a", 50, 50)}, 10, testStart.Add(time.Hour))
			return testStart.Add(time.Hour)
		}, 5 + minRounding},
		{"same limit in a new document", func(b *Buckets) time.Time {
			b.Set(1, []kqroutes.Owner{owner("b", 1, 1), owner("a", 50, 50)}, voters, testStart)
			return testStart
		}, startTokens},
		{"gone", func(b *Buckets) time.Time {
			b.Set(1, []kqroutes.Owner{owner("b", 1, 1)}, voters, testStart)
			return testStart
		}, 0},
		{"lowered on an entry host", func(b *Buckets) time.Time {
			b.Lower(2, Want{Owner: "a", Rate: 5, Burst: 5}, testStart.Add(time.Hour))
			b.Lower(2, Want{Owner: "a", Rate: 50, Burst: 50}, testStart.Add(time.Hour))
			b.Set(1, []kqroutes.Owner{owner("a", 50, 50)}, voters, testStart.Add(time.Hour))
			return testStart.Add(time.Hour)
		}, int(1 + rounding)},
	} {
		b := NewBuckets(testParams)
		b.Set(1, []kqroutes.Owner{owner("a", 50, 50)}, voters, testStart)
		if got := drain(b, "a", c.do(b)); got != c.want {
			t.Errorf("%s: %d tokens, want %d", c.name, got, c.want)
		}
		if len(b.byOwner) > 2 {
			t.Errorf("%s: buckets of owners that are not in the document", c.name)
		}
	}
}

// TestTurns guards against callers that are refused together and return together.
func TestTurns(t *testing.T) {
	b := NewBuckets(testParams)
	b.Set(1, []kqroutes.Owner{owner("a", 10, 0), owner("free", 0, 0)}, 5, testStart)
	drain(b, "a", testStart)
	last := time.Duration(0)
	for range 100 {
		g := b.Take(Want{Owner: "a", Count: 1}, testStart)
		if g.Count != 0 || g.Wait > maxTurn || g.Wait < last || g.Wait == last && last < maxTurn {
			t.Fatalf("turn %v after %v, granted %d", g.Wait, last, g.Count)
		}
		last = g.Wait
	}
	if g := b.Take(Want{Owner: "free", Count: 3, More: 2}, testStart); g.Count != 5 {
		t.Errorf("owner without a limit: %+v", g)
	}
	if g := b.Take(Want{Owner: "b", Count: 1}, testStart); !g.Unknown {
		t.Errorf("unknown owner: %+v", g)
	}
	if g := b.Take(Want{Owner: "a", Count: -5, More: -5}, testStart); g.Count != 0 {
		t.Errorf("negative want: %+v", g)
	}
}

// TestMore guards against tokens that expire unused while they are scarce.
func TestMore(t *testing.T) {
	b := NewBuckets(testParams)
	b.Set(1, []kqroutes.Owner{owner("a", 50, 50)}, 5, testStart)
	now := testStart.Add(time.Hour) // 12.2 tokens
	if g := b.Take(Want{Owner: "a", Count: 1, More: maxMore}, now); g.Count != 1+maxMore {
		t.Errorf("full bucket: %+v", g)
	}
	if g := b.Take(Want{Owner: "a", Count: 1, More: maxMore}, now); g.Count != 1 {
		t.Errorf("bucket of 7.2 of 12.2 tokens: %+v", g)
	}
}

func status(voter, committed, founding bool, hosts ...string) kqreplica.Status {
	s := kqreplica.Status{Voter: voter, Committed: committed, Founding: founding}
	for _, h := range hosts {
		s.Members = append(s.Members, kqreplica.Member{Host: h, Voter: true})
	}
	return s
}

// TestStanding guards against more shares than one: by a voter that was removed while it was
// cut off, that is new, or that restarted after another was removed.
func TestStanding(t *testing.T) {
	none, abc, ab := kqreplica.Status{}, status(true, true, false, "a", "b", "c"), status(true, true, false, "a", "b")
	founded := status(true, true, true, "a", "b", "c")
	uncommitted, removed := status(true, false, false, "a", "b"), status(false, true, false, "b", "c")
	hold := confirmationLife + testParams.Window + testParams.Life() + clockMargin
	type step struct {
		at        time.Duration
		status    kqreplica.Status
		confirmed bool
		grants    bool
		n         int
	}
	for _, c := range []struct {
		name   string
		loaded kqreplica.Status
		steps  []step
	}{
		{"restarted", abc, []step{{0, abc, false, false, 4}, {1, abc, true, true, 4}, {hold, abc, true, true, 3}}},
		{"founder", none, []step{{0, founded, true, true, 3}, {1, abc, true, true, 3}}},
		{"joins", none, []step{{0, abc, true, false, 3}, {hold - 1, abc, true, false, 3}, {hold, abc, true, true, 3}}},
		{"cut off", abc, []step{{hold, abc, true, true, 3}, {hold + confirmationLife, abc, false, true, 3}, {hold + confirmationLife + 1, abc, false, false, 3}}},
		{"another is removed", abc, []step{
			{hold, abc, true, true, 3},
			{hold + 1, uncommitted, true, true, 3},
			{2 * hold, uncommitted, true, true, 3},
			{2*hold + 1, ab, true, true, 3},
			{3*hold + 1, ab, true, true, 2},
		}},
		{"is removed", abc, []step{{hold, abc, true, true, 3}, {hold + 1, removed, true, false, 3}}},
	} {
		s := NewStanding(testParams, c.loaded, testStart)
		for i, st := range c.steps {
			now := testStart.Add(st.at)
			s.Observe(st.status, now)
			if st.confirmed {
				s.Confirmed(now)
			}
			if got, n := s.Grants(now), s.Voters(now); got != st.grants || n != st.n {
				t.Errorf("%s, step %d: grants %v among %d, want %v among %d", c.name, i, got, n, st.grants, st.n)
			}
		}
	}
}

// TestOpinions guards against a new voter that grants at once although another one may have been
// removed, or although a voter does not count it; and against one that waits for nothing.
func TestOpinions(t *testing.T) {
	founded := status(true, true, true, "a", "b", "c")
	joined := status(true, true, false, "a", "b", "c", "d")
	replaced := status(true, true, false, "a", "b", "d")
	voter := func(loaded kqreplica.Status, seen ...kqreplica.Status) *Standing {
		s := NewStanding(testParams, loaded, testStart)
		for _, st := range seen {
			s.Observe(st, testStart)
			s.Confirmed(testStart)
		}
		return s
	}
	none := kqreplica.Status{}
	for _, c := range []struct {
		name   string
		others []*Standing
		want   bool
	}{
		{"founders count it", []*Standing{voter(none, founded, joined), voter(none, founded, joined)}, true},
		{"and another new one", []*Standing{voter(none, founded, joined), voter(none, joined)}, true},
		{"only new ones", []*Standing{voter(none, joined), voter(none, joined)}, false},
		{"one does not know of it", []*Standing{voter(none, founded, joined), voter(none, founded)}, false},
		{"one was removed", []*Standing{voter(none, founded, replaced), voter(none, founded, replaced)}, false},
		{"one restarted", []*Standing{voter(none, founded, joined), voter(joined, joined)}, false},
		{"all restarted, and knew it before", []*Standing{voter(joined, joined), voter(joined, joined)}, true},
	} {
		d := voter(none, joined)
		if n := len(d.Others("d", testStart)); n != 3 {
			t.Fatalf("%d others", n)
		}
		var list []Opinion
		for _, o := range c.others {
			list = append(list, o.Opinion("d", testStart))
		}
		if got := d.Hear(list, testStart); got != c.want || d.Grants(testStart) != c.want {
			t.Errorf("%s: opinions %q: wait ended %v, want %v", c.name, list, got, c.want)
		}
	}
}
