package kqlimitmodel

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqreplica"
	"kumquatglade/internal/state/kqroutes"
)

const (
	boundHosts  = 10
	boundVoters = 5
	spareVoters = 2 // control hosts that are not voters at first
	boundTime   = 60 * time.Second
)

// boundPlay loads limits to several times their rate while hosts are cut off, frozen and
// restarted, requests wait for targets, targets refuse them, and members change.
type boundPlay struct {
	w            *world
	s            *shares
	rng          *rand.Rand
	cutUntil     map[[2]int]time.Time
	jammed       time.Time         // until when no target has room
	changed      time.Time         // last change of members
	started      map[int]time.Time // last start of each voter
	sends        [][]time.Time
	steady       bool // callers are never silent
	ignoreExpiry bool // a fault: tokens are used after their time
}

func newBoundPlay(seed uint64, owners []kqroutes.Owner) *boundPlay {
	nodes := boundHosts + boundVoters + spareVoters
	w := newWorld(nodes, seed)
	p := &boundPlay{
		w: w, rng: w.rng, s: newShares(w, kqtokens.NewParams(0, 0, 0), boundHosts, boundVoters, owners),
		cutUntil: map[[2]int]time.Time{}, started: map[int]time.Time{}, sends: make([][]time.Time, len(owners)),
	}
	w.cut = func(a, b int) bool { return p.cutUntil[[2]int{min(a, b), max(a, b)}].After(w.now) }
	return p
}

func (p *boundPlay) run() {
	for o := range p.s.owners {
		p.arrive(o)
	}
	p.w.after(time.Second, p.jam)
	p.w.after(time.Second, p.disturb)
	p.w.run(p.w.now.Add(boundTime))
}

// arrive plans the next request of the owner, whose callers are silent until its buckets are
// full and then ask for several times its limit.
func (p *boundPlay) arrive(o int) {
	const cycle, loaded = 20 * time.Second, 10 * time.Second
	k := &p.s.owners[o]
	p.w.after(time.Duration(p.rng.ExpFloat64()/(4*k.Rate+k.Burst)*float64(time.Second)), func() {
		if p.steady || time.Duration(p.w.now.UnixNano())%cycle < loaded {
			h := p.rng.IntN(boundHosts)
			p.w.on(h, 0, func() { p.request(h, o) })
		}
		p.arrive(o)
	})
}

// jam has all requests wait for a target for a while.
func (p *boundPlay) jam() {
	p.jammed = p.w.now.Add(time.Second + time.Duration(p.rng.Int64N(int64(2*time.Second))))
	p.w.after(time.Duration(p.rng.ExpFloat64()*float64(5*time.Second)), p.jam)
}

// request takes a token, waits for a target and sends.
func (p *boundPlay) request(h, o int) {
	p.s.take(h, o, func(ok bool, _ time.Duration, t kqtokens.Token) {
		if !ok {
			return
		}
		e := p.s.entries[h]
		p.w.on(h, max(p.jammed.Sub(p.w.now), 0), func() {
			switch {
			case !p.ignoreExpiry && !p.s.params.Valid(t, p.w.now):
			case p.rng.IntN(10) == 0: // the target refuses it
				p.s.perform(h, e, e.host.Return(&p.s.owners[o], t, p.w.now))
			default:
				p.sends[o] = append(p.sends[o], p.w.now)
			}
		})
	})
}

// disturb makes one fault happen, and plans the next one.
func (p *boundPlay) disturb() {
	n, d := p.rng.IntN(boundHosts+boundVoters), time.Duration(p.rng.Int64N(int64(4*time.Second)))
	switch p.rng.IntN(6) {
	case 0: // cut off from all
		for other := range p.w.nodes {
			p.cutLink(n, other, d)
		}
	case 1: // a control host that only entry hosts reach
		for v := boundHosts; v < len(p.w.nodes); v++ {
			p.cutLink(boundHosts+p.rng.IntN(boundVoters), v, 3*d)
		}
	case 2:
		p.cutLink(n, boundHosts+p.rng.IntN(boundVoters), d)
	case 3:
		p.w.freeze(n, d)
	case 4:
		p.restart(n, d/4)
	case 5:
		p.changeMembers()
	}
	p.w.after(time.Duration(p.rng.ExpFloat64()*float64(700*time.Millisecond)), p.disturb)
}

func (p *boundPlay) cutLink(a, b int, d time.Duration) {
	p.cutUntil[[2]int{min(a, b), max(a, b)}] = p.w.now.Add(d)
}

// restart restarts a host; a voter at most once in a window, which the bound assumes, and not
// while it may be new.
func (p *boundPlay) restart(n int, d time.Duration) {
	if n >= boundHosts {
		if p.w.now.Sub(p.started[n]) < 2*p.s.params.Window || p.w.nodes[n].down || p.w.now.Sub(p.changed) < 20*time.Second {
			return
		}
		p.started[n] = p.w.now.Add(d)
	}
	p.s.restart(n, d)
}

// changeMembers removes a voter, which is cut off from its peers but not from entry hosts, or
// adds one. The next change comes when all know of the last.
func (p *boundPlay) changeMembers() {
	if !p.changed.IsZero() && p.w.now.Sub(p.changed) < 20*time.Second {
		return
	}
	p.changed, p.s.changed = p.w.now, true
	members := slices.Clone(p.s.members)
	if len(members) < boundVoters+1 && p.rng.IntN(2) == 0 {
		for n := boundHosts; ; n++ {
			if !slices.Contains(members, n) {
				p.s.members = append(members, n)
				p.w.nodes[n].starts++
				p.s.startVoter(n, kqreplica.Status{})
				return
			}
		}
	}
	removed := p.rng.IntN(len(members))
	for v := boundHosts; v < len(p.w.nodes); v++ {
		p.cutLink(members[removed], v, boundTime)
	}
	p.s.members = slices.Delete(members, removed, removed+1)
}

// excess returns by how many requests the worst window of any owner exceeds its bound.
func (p *boundPlay) excess() int {
	worst := -1 << 30
	for o, list := range p.sends {
		k := p.s.owners[o]
		bound := (k.Rate*p.s.params.Window.Seconds()+k.Burst)*(1+p.s.params.Overrun) + p.s.params.Slack
		worst = max(worst, worstWindow(list, p.s.params.Window)-int(bound))
	}
	return worst
}

func boundOwners() []kqroutes.Owner {
	return []kqroutes.Owner{{Name: "large", Rate: 60, Burst: 100}, {Name: "even", Rate: 30}, {Name: "small", Rate: 1, Burst: 40}}
}

// TestBoundInEveryWindow guards against hosts that count the same tokens twice, whatever is cut
// off, frozen, restarted or replaced.
func TestBoundInEveryWindow(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		p := newBoundPlay(seed, boundOwners())
		p.run()
		if n := p.excess(); n > 0 {
			t.Errorf("seed %d: %d requests above the bound", seed, n)
		}
	}
}

// TestLoweredLimitBinds guards against a limit that voters which are cut off from their peers go
// on granting after it was lowered.
func TestLoweredLimitBinds(t *testing.T) {
	const window = 5 * time.Second
	for seed := range uint64(20) {
		p := newBoundPlay(seed, []kqroutes.Owner{{Name: "o", Rate: 300, Burst: 300}})
		p.steady = true
		p.arrive(0)
		p.w.after(window, func() {
			for v := boundHosts; v < boundHosts+2; v++ {
				for other := boundHosts; other < len(p.w.nodes); other++ {
					p.cutLink(v, other, boundTime)
				}
			}
		})
		var binds time.Time
		p.w.after(window+time.Second, func() {
			p.s.owners, binds = []kqroutes.Owner{{Name: "o", Rate: 10, Burst: 10}}, p.w.now.Add(window)
			p.s.version++
		})
		p.w.run(p.w.now.Add(boundTime / 2))
		p.sends[0] = slices.DeleteFunc(p.sends[0], func(at time.Time) bool { return at.Before(binds) })
		if n := p.excess(); n > 0 || len(p.sends[0]) == 0 {
			t.Errorf("seed %d: %d requests above the bound", seed, n)
		}
	}
}

// TestBoundNeedsItsParts checks that TestBoundInEveryWindow notices what it guards against.
func TestBoundNeedsItsParts(t *testing.T) {
	for name, fault := range map[string]func(p *boundPlay){
		"burst not divided": func(p *boundPlay) {
			p.s.fault = func(list []kqroutes.Owner, n int) ([]kqroutes.Owner, int) {
				whole := slices.Clone(list)
				for i := range whole {
					whole[i].Burst *= float64(n)
				}
				return whole, n
			}
		},
		"rate of one voter fewer": func(p *boundPlay) {
			p.s.fault = func(list []kqroutes.Owner, n int) ([]kqroutes.Owner, int) { return list, max(n-1, 1) }
		},
		"removed voters go on": func(p *boundPlay) { p.s.lasting = true },
		"tokens used late":     func(p *boundPlay) { p.ignoreExpiry = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				p := newBoundPlay(seed, boundOwners())
				fault(p)
				if p.run(); p.excess() > 0 {
					return
				}
			}
			t.Error("no window exceeds the bound")
		})
	}
}
