package kqsoak

import (
	"math/rand/v2"
	"time"
)

// Kind of a fault.
type Kind string

// Kinds of faults.
const (
	KillEntry     Kind = "kill an entry host"
	KillControl   Kind = "kill control hosts"
	KillAll       Kind = "kill all hosts"
	FreezeEntry   Kind = "freeze an entry host"
	FreezeControl Kind = "freeze a control host"
	StopEntry     Kind = "stop an entry host as planned"
	LoseDisk      Kind = "lose folders of control hosts"
	TargetCrash   Kind = "crash a target"
	TargetLeaves  Kind = "a target leaves"
	TargetSlow    Kind = "a target turns slow"
	TargetSheds   Kind = "a target rejects all"
	TargetLoses   Kind = "a target loses answers"
)

// Fault is one fault of a round.
type Fault struct {
	Kind  Kind
	After time.Duration // from the beginning of the round
	For   time.Duration // of those that end
	Pick  int           // which host or target, modulo their number
	Count int           // how many at once
}

const (
	roundTime = 5 * time.Second // in which the faults of a round begin
	mostOf    = 3               // faults in a round
)

// touchy faults keep a host from hearing of a leave in time: the promise does not
// hold for it then, so that no target leaves in such a round.
func touchy(k Kind) bool {
	switch k {
	case KillControl, KillAll, FreezeEntry, FreezeControl, LoseDisk:
		return true
	}
	return false
}

// Round draws the faults of one round. Two faults of control hosts never meet: more
// folders than are borne might be lost while others are still catching up.
func Round(rng *rand.Rand) []Fault {
	kinds := []Kind{
		KillEntry, KillControl, KillAll, FreezeEntry, FreezeControl, StopEntry, LoseDisk,
		TargetCrash, TargetLeaves, TargetSlow, TargetSheds, TargetLoses,
	}
	var list []Fault
	for range 1 + rng.IntN(mostOf) {
		f := Fault{
			Kind: kinds[rng.IntN(len(kinds))], After: time.Duration(rng.Int64N(int64(roundTime))),
			For: time.Second + time.Duration(rng.Int64N(int64(3*time.Second))), Pick: rng.IntN(1 << 16), Count: 1 + rng.IntN(tolerance),
		}
		if !clashes(f, list) {
			list = append(list, f)
		}
	}
	return list
}

func clashes(f Fault, list []Fault) bool {
	for _, o := range list {
		leaves := f.Kind == TargetLeaves || o.Kind == TargetLeaves
		if touchy(f.Kind) && touchy(o.Kind) || leaves && (touchy(f.Kind) || touchy(o.Kind)) {
			return true
		}
	}
	return false
}
