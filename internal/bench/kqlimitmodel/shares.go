package kqlimitmodel

import (
	"fmt"
	"slices"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqreplica"
	"kumquatglade/internal/state/kqroutes"
)

const (
	confirmEvery = 400 * time.Millisecond
	slowAfter    = 15 * time.Millisecond
)

// shares is the way in use: every voter has a share of each limit (package kqtokens).
type shares struct {
	w        *world
	params   kqtokens.Params
	hosts    int
	owners   []kqroutes.Owner // as known to the entry hosts
	version  uint64           // of owners
	entries  []*entry
	voters   map[int]*voter
	members  []int // voters of the committed member list
	lasting  bool  // a fault: a voter goes on without confirmations
	changed  bool  // the founding member list is no longer in force
	messages int
	fault    func(list []kqroutes.Owner, n int) ([]kqroutes.Owner, int) // what voters take limits and voters for; tests replace it
}

type entry struct {
	host    *kqtokens.Host
	lastID  uint64
	decided map[uint64]func(kqtokens.Decision)
}

type voter struct {
	buckets  *kqtokens.Buckets
	standing *kqtokens.Standing
	status   kqreplica.Status // as known to this voter
	owners   []kqroutes.Owner // as known to this voter
	version  uint64           // of owners
}

func newShares(w *world, p kqtokens.Params, hosts, voters int, owners []kqroutes.Owner) *shares {
	s := &shares{w: w, params: p, hosts: hosts, owners: owners, voters: map[int]*voter{}, fault: func(list []kqroutes.Owner, n int) ([]kqroutes.Owner, int) { return list, n }}
	for h := range hosts {
		s.entries = append(s.entries, nil)
		s.startEntry(h)
	}
	for v := hosts; v < hosts+voters; v++ {
		s.members = append(s.members, v)
	}
	for _, v := range s.members {
		s.startVoter(v, kqreplica.Status{})
	}
	return s
}

func name(n int) string { return fmt.Sprint(n) }

// startEntry starts an entry host that holds nothing.
func (s *shares) startEntry(h int) {
	s.entries[h] = &entry{decided: map[uint64]func(kqtokens.Decision){}, host: kqtokens.NewHost(kqtokens.HostConfig{
		Params: s.params, Rand: s.w.rng, Fleet: func() kqtokens.Fleet { return kqtokens.Fleet{Rank: h, Size: s.hosts} },
		Voters: func() (list []string) {
			for _, m := range s.members {
				list = append(list, name(m))
			}
			return list
		},
	})}
}

// startVoter starts a control host whose log holds the status.
func (s *shares) startVoter(n int, loaded kqreplica.Status) {
	v := &voter{buckets: kqtokens.NewBuckets(s.params), standing: kqtokens.NewStanding(s.params, loaded, s.w.now), status: loaded, owners: s.owners, version: s.version}
	s.voters[n] = v
	s.refresh(v)
	s.confirm(n, v)
	s.w.every(n, confirmEvery, func() { s.confirm(n, v) })
}

// statusFor returns the status of a voter that knows all that is committed.
func (s *shares) statusFor(n int) kqreplica.Status {
	st := kqreplica.Status{Committed: true, Founding: !s.changed, Voter: slices.Contains(s.members, n)}
	for _, m := range s.members {
		st.Members = append(st.Members, kqreplica.Member{Host: name(m), Voter: true})
	}
	return st
}

// connected reports whether the voter reaches a majority.
func (s *shares) connected(n int) bool {
	reached := 0
	for _, m := range s.members {
		if !s.w.nodes[m].down && !s.w.nodes[m].frozen.After(s.w.now) && (m == n || !s.w.cut(m, n)) {
			reached++
		}
	}
	return 2*reached > len(s.members)
}

func (s *shares) confirm(n int, v *voter) {
	connected := s.connected(n)
	if connected {
		v.status, v.owners, v.version = s.statusFor(n), s.owners, s.version
	}
	s.refresh(v)
	if connected {
		v.standing.Confirmed(s.w.now)
		s.hearOthers(n, v)
	}
}

// hearOthers has the other voters end the wait of a new one.
func (s *shares) hearOthers(n int, v *voter) {
	var list []kqtokens.Opinion
	for _, other := range v.standing.Others(name(n), s.w.now) {
		var m int
		fmt.Sscan(other, &m) // a number, by name
		if h := &s.w.nodes[m]; h.down || h.frozen.After(s.w.now) || s.w.cut(m, n) {
			return
		}
		list = append(list, s.voters[m].standing.Opinion(name(n), s.w.now))
	}
	if v.standing.Hear(list, s.w.now) {
		v.buckets = kqtokens.NewBuckets(s.params)
		s.refresh(v)
	}
}

func (s *shares) refresh(v *voter) {
	v.standing.Observe(v.status, s.w.now)
	owners, n := s.fault(v.owners, v.standing.Voters(s.w.now))
	v.buckets.Set(v.version, owners, n, s.w.now)
}

func (s *shares) take(h, o int, decided func(ok bool, wait time.Duration, t kqtokens.Token)) {
	e := s.entries[h]
	e.lastID++
	e.decided[e.lastID] = func(d kqtokens.Decision) { decided(d.Outcome == kqtokens.Granted, d.RetryAfter, d.Token) }
	s.perform(h, e, e.host.Take(&s.owners[o], e.lastID, s.w.now))
}

func (s *shares) perform(h int, e *entry, effects kqtokens.Effects) {
	for _, d := range effects.Decisions {
		decided := e.decided[d.ID]
		delete(e.decided, d.ID)
		decided(d)
	}
	for _, a := range effects.Asks {
		s.messages++
		s.ask(h, e, a)
	}
}

func (s *shares) ask(h int, e *entry, a kqtokens.Ask) {
	var to int
	fmt.Sscan(a.Voter, &to) // a number, by name
	s.w.send(h, to, func() {
		v := s.voters[to]
		var grants []kqtokens.Grant
		for _, want := range a.Wants {
			if v.version < s.version {
				v.buckets.Lower(s.version, want, s.w.now)
			}
			if v.standing.Grants(s.w.now) || s.lasting {
				grants = append(grants, v.buckets.Take(want, s.w.now))
			}
		}
		s.w.send(to, h, func() { s.perform(h, e, e.host.Answered(a.ID, grants, s.w.now)) })
	})
	s.w.on(h, slowAfter, func() { s.perform(h, e, e.host.Slow(a.ID, s.w.now)) })
	timeout := kqtokens.AnswerTimeout
	if s.w.nodes[to].down {
		timeout = delay // the connection breaks
	}
	s.w.on(h, timeout, func() { s.perform(h, e, e.host.Answered(a.ID, nil, s.w.now)) })
}

func (s *shares) restart(n int, d time.Duration) {
	s.w.restart(n, d, func() {
		if n < s.hosts {
			s.startEntry(n)
			return
		}
		s.startVoter(n, s.voters[n].status)
	})
}

func (s *shares) sent() int { return s.messages }
