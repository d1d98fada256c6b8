package kqsoak

import (
	"math/rand/v2"
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
	StopControl        Kind = "stop a control host as planned"
	LoseDisk           Kind = "lose folders of control hosts"
	TargetCrash        Kind = "crash a target"
	TargetLeaves       Kind = "a target leaves"
	TargetSlow         Kind = "a target turns slow"
	TargetRejects      Kind = "a target rejects all"
	TargetDropsAnswers Kind = "a target loses answers"
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
)

// delaysLeave reports whether a fault can keep a host from learning in time that a
// target leaves. The time limit on leaving does not hold under such a fault, so no
// target leaves in the same round.
func delaysLeave(k Kind) bool {
	switch k {
	case KillControl, KillAll, StopControl, FreezeEntry, FreezeControl, LoseDisk:
		return true
	}
	return false
}

// Round draws the faults of one round at random, or planned work only. Two faults for which delaysLeave
// holds never share a round: more data folders than the tolerance might be lost
// while other control hosts are still catching up.
func Round(rng *rand.Rand, planned bool) []Fault {
	kinds := []Kind{
		KillEntry, KillControl, KillAll, FreezeEntry, FreezeControl, StopEntry, LoseDisk,
		TargetCrash, TargetLeaves, TargetSlow, TargetRejects, TargetDropsAnswers,
	}
	if planned {
		kinds = []Kind{StopEntry, StopEntry, StopEntryTwice, StopControl, TargetLeaves}
	}
	var list []Fault
	for range 1 + rng.IntN(maxFaults) {
		f := Fault{
			Kind: kinds[rng.IntN(len(kinds))], After: time.Duration(rng.Int64N(int64(roundTime))),
			For: time.Second + time.Duration(rng.Int64N(int64(3*time.Second))), Pick: rng.IntN(1 << 16), Count: 1 + rng.IntN(tolerance),
		}
		if !conflicts(f, list) {
			list = append(list, f)
		}
	}
	return list
}

func conflicts(f Fault, list []Fault) bool {
	for _, o := range list {
		leaves := f.Kind == TargetLeaves || o.Kind == TargetLeaves
		if delaysLeave(f.Kind) && delaysLeave(o.Kind) || leaves && (delaysLeave(f.Kind) || delaysLeave(o.Kind)) {
			return true
		}
	}
	return false
}
