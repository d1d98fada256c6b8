package kqsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	scarceSlots = 4
	scarceWork  = 150 * time.Millisecond // so that a warm target runs 26 requests per second, far more than a cold one may get
	linkDelay   = 40 * time.Millisecond
)

// scarceQueues are how many requests wait at a target. Those with room for few are soon full.
var scarceQueues = []int{4, 1, 0}

// makeScarce configures a target that fills up: every other one hangs when it is full.
func (s *soak) makeScarce(cfg *TargetConfig) {
	cfg.Slots, cfg.Queue, cfg.Work = scarceSlots, scarceQueues[s.targetCount/2%len(scarceQueues)], func() time.Duration { return scarceWork }
	cfg.Domain, cfg.Hangs = domains[s.targetCount%len(domains)], s.targetCount%2 == 0
	cfg.Cold, cfg.Proxied = coldTime, true
}

// proxied starts a proxy in front of each address and returns their addresses.
func (s *soak) proxied(addrs []string) ([]string, error) {
	var list []string
	for _, a := range addrs {
		p, err := StartProxy(a)
		if err != nil {
			return nil, err
		}
		s.links = append(s.links, p)
		list = append(list, p.Addr())
	}
	return list, nil
}

func (s *soak) closeLinks() {
	for _, p := range s.links {
		p.Close()
	}
}

// link returns the link that a fault affects, half of the times one to a target.
func (s *soak) link(pick int) *Proxy {
	if pick%2 == 0 {
		return s.links[pick/2%len(s.links)]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[pick/2%len(s.targets)].link
}

// injectLink causes a fault of a link and ends it.
func (s *soak) injectLink(ctx context.Context, f Fault) {
	p, mode := s.link(f.Pick), Interference{}
	switch f.Kind {
	case LinkReset:
		p.Reset()
		return
	case LinkSilence:
		p.Silence()
		return
	case LinkDelay:
		mode.Delay = linkDelay * time.Duration(f.Count)
	case LinkSlow:
		mode.Slow = true
	case LinkCut:
		mode.Held = [2]bool{true, true}
	case LinkCutOne:
		mode.Held[f.Count%len(mode.Held)] = true
	}
	p.Interfere(mode)
	wait(ctx, f.For)
	p.Interfere(Interference{})
}

func (s *soak) round(rng *rand.Rand, n int) []Fault {
	if s.cfg.Scarce {
		return ScarceRound(rng, n == 1)
	}
	return Round(rng, s.cfg.Planned, s.cfg.Reload)
}

// noteDisturbance tells the ledger when a round can keep hosts from learning of changes in
// time: while it lasts, and until they have caught up after it.
func (s *soak) noteDisturbance(list []Fault, begins bool) {
	for _, f := range list {
		if !delaysLeave(f.Kind) {
			continue
		}
		until := time.Now().Add(learnTime)
		if begins {
			until = time.Now().Add(2*roundTime + recoveryTimeout)
		}
		s.ledger.Disturbed(until, begins)
		return
	}
}

// recoveryCredential is what the callers present who check the recovery.
func (s *soak) recoveryCredential() *credential {
	if !s.cfg.Scarce {
		return nil
	}
	c := owners[0].credential(0)
	return &c
}

// reportPromises prints how often each promise was checked and broken.
func (s *soak) reportPromises() {
	checks := s.ledger.CheckPromises()
	for _, p := range promises {
		fmt.Fprintf(s.cfg.Out, "%-45s checks made %d, broken %d\n", p, checks[p].Made, checks[p].Broken)
	}
}
