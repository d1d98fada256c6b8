package kqsoak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault, as printed.
type Kind string

// Kinds of faults that a round can contain.
const (
	KillEntry          Kind = "kill an entry host"
	KillControl        Kind = "kill control hosts"
	KillAll            Kind = "kill all hosts"
	FreezeEntry        Kind = "freeze an entry host"
	FreezeControl      Kind = "freeze a control host"
	StopEntry          Kind = "stop an entry host as planned"
	StopEntryTwice     Kind = "stop an entry host as planned, with two signals"
	StopEntries        Kind = "stop entry hosts as planned, at once or one after the other"
	StopControl        Kind = "stop a control host as planned"
	StopWithLeader     Kind = "stop an entry host and the control host that leads"
	Reload             Kind = "SIGHUP to entry hosts"
	LoseDisk           Kind = "lose folders of control hosts"
	TargetCrash        Kind = "crash a target"
	TargetLeaves       Kind = "a target leaves"
	TargetMoves        Kind = "a target is replaced at a new address"
	TargetSlow         Kind = "a target turns slow"
	TargetRejects      Kind = "a target rejects all"
	TargetDropsAnswers Kind = "a target loses answers"
	Evacuate           Kind = "evacuate a failure domain for a while"

	TargetQuiet Kind = "a target asks for quiet"
	TargetCools Kind = "a target turns cold"
	LinkDelay   Kind = "delay a link"
	LinkCut     Kind = "cut a link"
	LinkCutOne  Kind = "cut a link one way"
	LinkSlow    Kind = "a link is read slowly"
	LinkReset   Kind = "reset the connections of a link"
	LinkSilence Kind = "silence the connections of a link"
)

// Fault is one fault that a round injects.
type Fault struct {
	Kind  Kind
	After time.Duration // from the start of the round
	For   time.Duration // duration of a fault that ends by itself
	Pick  int           // index of the host or target, modulo their number
	Count int           // how many hosts at once
}

const (
	roundTime = 5 * time.Second // period in which the faults of a round start
	maxFaults = 3               // per round
	maxWork   = 5               // per round of planned work
)

// delaysLeave reports whether a fault can keep a host from learning in time that a
// target leaves or a failure domain is evacuated. The time limits on these do not hold
// under such a fault, so neither happens in the same round.
func delaysLeave(k Kind) bool {
	switch k {
	case KillControl, KillAll, StopControl, StopWithLeader, FreezeEntry, FreezeControl, LoseDisk:
		return true
	}
	return false
}

var (
	faultKinds = []Kind{
		KillEntry, KillControl, KillAll, FreezeEntry, FreezeControl, StopEntry, LoseDisk,
		TargetCrash, TargetLeaves, TargetSlow, TargetRejects, TargetDropsAnswers, Evacuate,
	}
	plannedKinds = []Kind{StopEntry, StopEntryTwice, StopEntries, StopControl, StopWithLeader, TargetLeaves, TargetMoves}
	scarceKinds  = []Kind{TargetQuiet, TargetCools, LinkDelay, LinkCut, LinkCutOne, LinkSlow, LinkReset, LinkSilence}
	stopKinds    = []Kind{StopEntry, StopEntryTwice, StopEntries, StopWithLeader}
)

// Round draws the faults of one round at random, or planned work only, which stops an entry
// host at least; with reload, SIGHUP is part of it. Two faults for which delaysLeave holds never
// share a round: more data folders than the tolerance might be lost while other control hosts
// are still catching up.
func Round(rng *rand.Rand, planned, reload bool) []Fault {
	if !planned {
		return draws(rng, 1+rng.IntN(maxFaults), func(int) []Kind { return faultKinds })
	}
	kinds := plannedKinds
	if reload {
		kinds = append(slices.Clone(kinds), Reload, Reload)
	}
	return draws(rng, 2+rng.IntN(maxWork-1), func(i int) []Kind {
		if i == 0 {
			return stopKinds
		}
		return kinds
	})
}

// ScarceRound draws the faults of one round of a scarce run at random. The first round
// evacuates a failure domain and turns a target cold, so that short runs check both.
func ScarceRound(rng *rand.Rand, first bool) []Fault {
	all := append(slices.Concat(faultKinds, scarceKinds), scarceKinds...)
	return draws(rng, 2+rng.IntN(maxFaults), func(i int) []Kind {
		switch {
		case first && i == 0:
			return []Kind{Evacuate}
		case first && i == 1:
			return []Kind{TargetCools}
		}
		return all
	})
}

// holds reports whether requests may reach their target later than they were sent.
func holds(k Kind) bool {
	switch k {
	case LinkDelay, LinkCut, LinkCutOne, LinkSlow, LinkSilence:
		return true
	}
	return false
}

// draws draws n faults, each of one of the kinds that the function names, and drops those
// that may not share the round with an earlier one.
func draws(rng *rand.Rand, n int, kinds func(i int) []Kind) []Fault {
	var list []Fault
	for i := range n {
		of := kinds(i)
		f := Fault{
			Kind: of[rng.IntN(len(of))], After: draw(rng, roundTime),
			For: time.Second + draw(rng, 3*time.Second), Pick: rng.IntN(1 << 16), Count: 1 + rng.IntN(tolerance),
		}
		if !conflicts(f, list) {
			list = append(list, f)
		}
	}
	return list
}

// leaves reports whether entry hosts must learn in time that targets get nothing any more.
func leaves(k Kind) bool { return k == TargetLeaves || k == TargetMoves || k == Evacuate }

func conflicts(f Fault, list []Fault) bool {
	for _, o := range list {
		fd, od := delaysLeave(f.Kind), delaysLeave(o.Kind)
		if fd && od || fd && leaves(o.Kind) || od && leaves(f.Kind) || holds(f.Kind) && leaves(o.Kind) || holds(o.Kind) && leaves(f.Kind) {
			return true
		}
	}
	return false
}
