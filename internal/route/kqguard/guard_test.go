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
	simulationSteps    = 600
	mutationNoRecovery = "a restarted guard answers at once"
	mutationNoMajority = "one grant is enough"
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
type pendingCall struct {
	key, call       string
	host            *host
	incarnation     int
	epoch           uint64
	guards          []string
	remainingGuards []string // guards still to ask
	granted         int
	since           time.Time
}

// story plays claims of few keys over a few hosts with crashes, cuts and
// changes of the list, one step at a time.
type simulation struct {
	rng          *rand.Rand
	mutation     string
	now          time.Time
	hosts        map[string]*host
	names        []string
	epoch        uint64
	list         []string
	incarnations map[string]int
	partitioned  map[string]bool
	pending      []*pendingCall
	runs         map[string]int
	calls        int
}

func newSimulation(seed uint64, mutant string) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 5)), mutation: mutant, now: time.Unix(1_700_000_000, 0),
		hosts: map[string]*host{}, incarnations: map[string]int{}, partitioned: map[string]bool{}, runs: map[string]int{},
	}
	for i := range 5 {
		s.names = append(s.names, fmt.Sprintf("e%d", i))
	}
	s.setHosts(s.names[:4])
	for _, n := range s.names[:4] {
		s.start(n, true)
	}
	return s
}

func (s *simulation) setHosts(list []string) {
	s.epoch++
	s.list = slices.Clone(list)
}

func (s *simulation) start(name string, isNew bool) {
	h := &host{name: name, guard: New(name, s.now), up: true}
	s.hosts[name] = h
	s.incarnations[name]++
	s.enforceHosts(h, isNew)
}

// learn gives a host the newest list.
func (s *simulation) enforceHosts(h *host, isNew bool) {
	h.epoch, h.list = s.epoch, s.list
	if s.mutation == mutationNoRecovery {
		isNew = true
	}
	s.perform(h, h.guard.Reduce(s.now, HostsChanged{Epoch: s.epoch, Hosts: s.list, FirstListed: isNew}))
	if s.mutation == mutationNoRecovery {
		h.guard.ready = true
	}
}

// perform carries copies out at once if the other host can be reached; lost
// ones are asked again by a tick.
func (s *simulation) perform(h *host, effects []Effect) {
	for _, e := range effects {
		c, ok := e.(FetchClaims)
		if !ok || !s.reachable(h.name, c.From) || s.rng.IntN(3) == 0 {
			continue
		}
		if copied, ok := s.hosts[c.From].guard.Claims(c.Epoch); ok {
			s.perform(h, h.guard.Reduce(s.now, copied))
		}
	}
}

func (s *simulation) reachable(a, b string) bool {
	x, y := s.hosts[a], s.hosts[b]
	return x != nil && y != nil && x.up && y.up && (a == b || !s.partitioned[a] && !s.partitioned[b])
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	switch s.rng.IntN(16) {
	case 0, 1, 2:
		s.begin()
	case 3:
		s.crash()
	case 4:
		s.togglePartition()
	case 5:
		s.addFifthHost()
	case 6, 7:
		h := s.hosts[s.names[s.rng.IntN(len(s.names))]]
		if h != nil && h.up {
			if h.epoch < s.epoch && !s.partitioned[h.name] {
				s.enforceHosts(h, false)
			}
			s.perform(h, h.guard.Reduce(s.now, Tick{}))
		}
	default:
		s.advancePending()
	}
}

// begin starts a filing, often a resend of an earlier one through another host.
func (s *simulation) begin() {
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
	f := &pendingCall{key: key, call: fmt.Sprint("call", s.calls), host: h, incarnation: s.incarnations[h.name], epoch: h.epoch, since: s.now}
	f.guards = SelectGuards(key, hosts)
	f.remainingGuards = slices.Clone(f.guards)
	s.pending = append(s.pending, f)
}

// advance lets one filing ask one more guard, or end.
func (s *simulation) advancePending() {
	if len(s.pending) == 0 {
		return
	}
	i := s.rng.IntN(len(s.pending))
	f := s.pending[i]
	if s.incarnations[f.host.name] != f.incarnation || !f.host.up {
		s.pending = slices.Delete(s.pending, i, i+1) // its host crashed
		return
	}
	need := Majority(len(f.guards))
	if s.mutation == mutationNoMajority {
		need = 1
	}
	late := s.now.Sub(f.since) > ClaimTimeout
	if len(f.remainingGuards) > 0 && f.granted < need && !late {
		s.claimNext(f)
		return
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	if f.granted >= need && !late {
		s.runs[f.key]++
		if s.rng.IntN(2) == 0 {
			s.broadcast(f, StoreResponse{Key: f.key, Call: f.call, Response: &Response{Status: 200}})
		}
		return
	}
	s.broadcast(f, Release{Key: f.key, Call: f.call})
}

func (s *simulation) claimNext(f *pendingCall) {
	name := f.remainingGuards[0]
	f.remainingGuards = f.remainingGuards[1:]
	if !s.reachable(f.host.name, name) {
		return
	}
	effects := s.hosts[name].guard.Reduce(s.now, Acquire{Claim{Key: f.key, Fingerprint: "r", Call: f.call, Epoch: f.epoch}})
	if effects[0].(SendReply).Reply.Outcome == Granted && s.rng.IntN(10) > 0 { // some grants are lost on the way
		f.granted++
	}
}

func (s *simulation) broadcast(f *pendingCall, ev Event) {
	for _, g := range f.guards {
		if s.reachable(f.host.name, g) {
			s.hosts[g].guard.Reduce(s.now, ev)
		}
	}
}

// crash restarts one host with empty memory; the next crash comes only once
// all guards answer again.
func (s *simulation) crash() {
	for _, n := range s.list {
		h := s.hosts[n]
		if h == nil || !h.up || !h.guard.ready || h.epoch != s.epoch {
			return
		}
	}
	name := s.list[s.rng.IntN(len(s.list))]
	s.start(name, false)
}

func (s *simulation) togglePartition() {
	if len(s.partitioned) > 0 {
		clear(s.partitioned)
		return
	}
	s.partitioned[s.list[s.rng.IntN(len(s.list))]] = true
}

// change puts the fifth host into the list or takes it out.
func (s *simulation) addFifthHost() {
	if s.rng.IntN(10) > 0 {
		return
	}
	if len(s.list) == 5 {
		return
	}
	s.setHosts(s.names)
	s.start(s.names[4], true)
}

// check plays one seed and returns the keys that ran twice.
func keysRunMoreThanOnce(seed uint64, mutant string) []string {
	s := newSimulation(seed, mutant)
	for range simulationSteps {
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

func TestKeyRunsAtMostOnce(t *testing.T) {
	ran := 0
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		if twice := keysRunMoreThanOnce(seed, ""); len(twice) > 0 {
			t.Fatalf("seed %d: ran twice: %v", seed, twice)
		}
		s := newSimulation(seed, "")
		for range simulationSteps {
			s.step()
		}
		ran += len(s.runs)
	}
	if ran < *seeds {
		t.Fatalf("only %d keys ran in %d stories: the check proves little", ran, *seeds)
	}
}

func TestMutatedGuardsAreDetected(t *testing.T) {
	for _, m := range []string{mutationNoRecovery, mutationNoMajority} {
		t.Run(m, func(t *testing.T) {
			for seed := uint64(1); seed < 2000; seed++ {
				if len(keysRunMoreThanOnce(seed, m)) > 0 {
					t.Logf("caught by seed %d", seed)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}
