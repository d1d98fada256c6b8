package kqguard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
)

var (
	seeds     = flag.Int("seeds", 300, "seeded stories to check")
	firstSeed = flag.Uint64("first", 1, "first seed")
)

const (
	storySteps = 600
	mutateWake = "a restarted guard answers at once"
	mutateOne  = "one grant is enough"
)

// host is one entry host with its guard and the list that it knows.
type host struct {
	name  string
	guard *Guard
	epoch uint64
	list  []string
	up    bool
}

// filing is one keyed call under way at one host.
type filing struct {
	key, call string
	at        *host
	life      int
	epoch     uint64
	guards    []string
	left      []string // guards still to ask
	granted   int
	since     time.Time
}

// story plays claims of few keys over a few hosts with crashes, cuts and
// changes of the list, one step at a time.
type story struct {
	rng    *rand.Rand
	mutant string
	now    time.Time
	hosts  map[string]*host
	names  []string
	epoch  uint64
	list   []string
	lives  map[string]int
	cut    map[string]bool
	open   []*filing
	runs   map[string]int
	calls  int
}

func newStory(seed uint64, mutant string) *story {
	s := &story{
		rng: rand.New(rand.NewPCG(seed, 5)), mutant: mutant, now: time.Unix(1_700_000_000, 0),
		hosts: map[string]*host{}, lives: map[string]int{}, cut: map[string]bool{}, runs: map[string]int{},
	}
	for i := range 5 {
		s.names = append(s.names, fmt.Sprintf("e%d", i))
	}
	s.relist(s.names[:4])
	for _, n := range s.names[:4] {
		s.start(n, true)
	}
	return s
}

func (s *story) relist(list []string) {
	s.epoch++
	s.list = slices.Clone(list)
}

func (s *story) start(name string, isNew bool) {
	h := &host{name: name, guard: New(name, s.now), up: true}
	s.hosts[name] = h
	s.lives[name]++
	s.learn(h, isNew)
}

// learn gives a host the newest list.
func (s *story) learn(h *host, isNew bool) {
	h.epoch, h.list = s.epoch, s.list
	if s.mutant == mutateWake {
		isNew = true
	}
	s.perform(h, h.guard.Reduce(s.now, Listed{Epoch: s.epoch, Hosts: s.list, New: isNew}))
	if s.mutant == mutateWake {
		h.guard.ready = true
	}
}

// perform carries copies out at once if the other host can be reached; lost
// ones are asked again by a tick.
func (s *story) perform(h *host, effects []Effect) {
	for _, e := range effects {
		c, ok := e.(Copy)
		if !ok || !s.reach(h.name, c.From) || s.rng.IntN(3) == 0 {
			continue
		}
		if copied, ok := s.hosts[c.From].guard.Claims(c.Epoch); ok {
			s.perform(h, h.guard.Reduce(s.now, copied))
		}
	}
}

func (s *story) reach(a, b string) bool {
	x, y := s.hosts[a], s.hosts[b]
	return x != nil && y != nil && x.up && y.up && (a == b || !s.cut[a] && !s.cut[b])
}

func (s *story) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	switch s.rng.IntN(16) {
	case 0, 1, 2:
		s.begin()
	case 3:
		s.crash()
	case 4:
		s.cutOrHeal()
	case 5:
		s.change()
	case 6, 7:
		h := s.hosts[s.names[s.rng.IntN(len(s.names))]]
		if h != nil && h.up {
			if h.epoch < s.epoch && !s.cut[h.name] {
				s.learn(h, false)
			}
			s.perform(h, h.guard.Reduce(s.now, Tick{}))
		}
	default:
		s.advance()
	}
}

// begin starts a filing, often a resend of an earlier one through another host.
func (s *story) begin() {
	h := s.hosts[s.list[s.rng.IntN(len(s.list))]]
	if h == nil || !h.up {
		return
	}
	var hosts []kqcontract.EntryHost
	for _, n := range h.list {
		hosts = append(hosts, kqcontract.EntryHost{Name: n, Domain: n})
	}
	s.calls++
	key := fmt.Sprintf("k%d", s.calls/8)
	f := &filing{key: key, call: fmt.Sprint("call", s.calls), at: h, life: s.lives[h.name], epoch: h.epoch, since: s.now}
	f.guards = Choose(key, hosts)
	f.left = slices.Clone(f.guards)
	s.open = append(s.open, f)
}

// advance lets one filing ask one more guard, or end.
func (s *story) advance() {
	if len(s.open) == 0 {
		return
	}
	i := s.rng.IntN(len(s.open))
	f := s.open[i]
	if s.lives[f.at.name] != f.life || !f.at.up {
		s.open = slices.Delete(s.open, i, i+1) // its host crashed
		return
	}
	need := Majority(len(f.guards))
	if s.mutant == mutateOne {
		need = 1
	}
	late := s.now.Sub(f.since) > ClaimTime
	if len(f.left) > 0 && f.granted < need && !late {
		s.ask(f)
		return
	}
	s.open = slices.Delete(s.open, i, i+1)
	if f.granted >= need && !late {
		s.runs[f.key]++
		if s.rng.IntN(2) == 0 {
			s.tell(f, Keep{Key: f.key, Call: f.call, Answer: &Answer{Status: 200}})
		}
		return
	}
	s.tell(f, Release{Key: f.key, Call: f.call})
}

func (s *story) ask(f *filing) {
	name := f.left[0]
	f.left = f.left[1:]
	if !s.reach(f.at.name, name) {
		return
	}
	effects := s.hosts[name].guard.Reduce(s.now, Ask{Claim{Key: f.key, Request: "r", Call: f.call, Epoch: f.epoch}})
	if effects[0].(Answered).Reply.Word == Granted && s.rng.IntN(10) > 0 { // some grants are lost on the way
		f.granted++
	}
}

func (s *story) tell(f *filing, ev Event) {
	for _, g := range f.guards {
		if s.reach(f.at.name, g) {
			s.hosts[g].guard.Reduce(s.now, ev)
		}
	}
}

// crash restarts one host with empty memory; the next crash comes only once
// all guards answer again.
func (s *story) crash() {
	for _, n := range s.list {
		h := s.hosts[n]
		if h == nil || !h.up || !h.guard.ready || h.epoch != s.epoch {
			return
		}
	}
	name := s.list[s.rng.IntN(len(s.list))]
	s.start(name, false)
}

func (s *story) cutOrHeal() {
	if len(s.cut) > 0 {
		clear(s.cut)
		return
	}
	s.cut[s.list[s.rng.IntN(len(s.list))]] = true
}

// change puts the fifth host into the list or takes it out.
func (s *story) change() {
	if s.rng.IntN(10) > 0 {
		return
	}
	if len(s.list) == 5 {
		return
	}
	s.relist(s.names)
	s.start(s.names[4], true)
}

// check plays one seed and returns the keys that ran twice.
func check(seed uint64, mutant string) []string {
	s := newStory(seed, mutant)
	for range storySteps {
		s.step()
	}
	var twice []string
	for k, n := range s.runs {
		if n > 1 {
			twice = append(twice, k)
		}
	}
	return twice
}

func TestNoKeyRunsTwice(t *testing.T) {
	ran := 0
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		if twice := check(seed, ""); len(twice) > 0 {
			t.Fatalf("seed %d: ran twice: %v", seed, twice)
		}
		s := newStory(seed, "")
		for range storySteps {
			s.step()
		}
		ran += len(s.runs)
	}
	if ran < *seeds {
		t.Fatalf("only %d keys ran in %d stories: the check proves little", ran, *seeds)
	}
}

func TestBrokenGuardsAreCaught(t *testing.T) {
	for _, m := range []string{mutateWake, mutateOne} {
		t.Run(m, func(t *testing.T) {
			for seed := uint64(1); seed < 2000; seed++ {
				if len(check(seed, m)) > 0 {
					t.Logf("caught by seed %d", seed)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}
