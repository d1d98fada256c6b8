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
	seeds     = flag.Int("seeds", 300, "number of seeded simulations to run")
	firstSeed = flag.Uint64("first", 1, "first seed")
)

const (
	simulationSteps    = 600
	mutationNoRecovery = "a restarted guard decides without recovery"
	mutationNoMajority = "one grant is enough"
)

// host is one entry host with its guard and the host list that it knows.
type host struct {
	name  string
	guard *Guard
	epoch uint64
	list  []string
	up    bool
}

// pendingCall is one call with an idempotency key that is collecting grants.
type pendingCall struct {
	key, call       string
	host            *host
	incarnation     int
	epoch           uint64
	guards          []string
	remainingGuards []string // guards that have not been sent the claim
	granted         int
	since           time.Time
}

// simulation runs claims of a few keys on up to five hosts with crashes, partitions
// and changes of the host list, one step at a time.
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

func newSimulation(seed uint64, mutation string) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 5)), mutation: mutation, now: time.Unix(1_700_000_000, 0),
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

// enforceHosts gives a host the newest host list.
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

// perform carries out requests for claims at once if the other host is reachable.
// A third of the requests is lost; a later tick repeats them.
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

// begin starts a call, often a retry of an earlier one through another host.
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
	p := &pendingCall{key: key, call: fmt.Sprint("call", s.calls), host: h, incarnation: s.incarnations[h.name], epoch: h.epoch, since: s.now}
	p.guards = SelectGuards(key, hosts)
	p.remainingGuards = slices.Clone(p.guards)
	s.pending = append(s.pending, p)
}

// advancePending lets one pending call send its claim to one more guard, or end.
func (s *simulation) advancePending() {
	if len(s.pending) == 0 {
		return
	}
	i := s.rng.IntN(len(s.pending))
	p := s.pending[i]
	if s.incarnations[p.host.name] != p.incarnation || !p.host.up {
		s.pending = slices.Delete(s.pending, i, i+1) // the host crashed
		return
	}
	need := Majority(len(p.guards))
	if s.mutation == mutationNoMajority {
		need = 1
	}
	late := s.now.Sub(p.since) > ClaimTimeout
	if len(p.remainingGuards) > 0 && p.granted < need && !late {
		s.claimNext(p)
		return
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	if p.granted >= need && !late {
		s.runs[p.key]++
		if s.rng.IntN(2) == 0 {
			s.broadcast(p, StoreResponse{Key: p.key, Call: p.call, Response: &Response{Status: 200}})
		}
		return
	}
	s.broadcast(p, Release{Key: p.key, Call: p.call})
}

func (s *simulation) claimNext(p *pendingCall) {
	name := p.remainingGuards[0]
	p.remainingGuards = p.remainingGuards[1:]
	if !s.reachable(p.host.name, name) {
		return
	}
	effects := s.hosts[name].guard.Reduce(s.now, Acquire{Claim{Key: p.key, Fingerprint: "r", Call: p.call, Epoch: p.epoch}})
	if effects[0].(SendReply).Reply.Outcome == Granted && s.rng.IntN(10) > 0 { // a tenth of the grants is lost
		p.granted++
	}
}

func (s *simulation) broadcast(p *pendingCall, ev Event) {
	for _, g := range p.guards {
		if s.reachable(p.host.name, g) {
			s.hosts[g].guard.Reduce(s.now, ev)
		}
	}
}

// crash restarts one host with empty memory. It does nothing unless all guards are
// ready, so that only one guard recovers at a time.
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

// addFifthHost adds the fifth host to the list, in one of ten calls and only once.
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

// keysRunMoreThanOnce runs one simulation and returns the keys that ran more than
// once.
func keysRunMoreThanOnce(seed uint64, mutation string) []string {
	s := newSimulation(seed, mutation)
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
			t.Fatalf("seed %d: keys ran more than once: %v", seed, twice)
		}
		s := newSimulation(seed, "")
		for range simulationSteps {
			s.step()
		}
		ran += len(s.runs)
	}
	if ran < *seeds {
		t.Fatalf("only %d keys ran in %d simulations, too few to check anything", ran, *seeds)
	}
}

func TestMutatedGuardsAreDetected(t *testing.T) {
	for _, m := range []string{mutationNoRecovery, mutationNoMajority} {
		t.Run(m, func(t *testing.T) {
			for seed := uint64(1); seed < 2000; seed++ {
				if len(keysRunMoreThanOnce(seed, m)) > 0 {
					t.Logf("detected by seed %d", seed)
					return
				}
			}
			t.Fatal("mutation not detected by any seed")
		})
	}
}
