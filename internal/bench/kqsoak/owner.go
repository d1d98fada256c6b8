package kqsoak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	keyLife      = 16               // versions of the routes after which the key of an owner is replaced, about 5 s
	coldRate     = 2.5              // requests per second at a cold target
	coldLimit    = coldRate*1.5 + 8 // requests in any second, with the usual settings
	coldTime     = 4 * time.Second  // after the start of a target
	unknownKeys  = 20               // one request in so many has no key, or one that nobody ever had
	oldKeys      = 20               // one request in so many of an owner whose keys are replaced has an old one
	openRequests = 20               // one request in so many is on the open route
	quotaShare   = 1.1              // of its limit that an owner may use in a window
	quotaSlack   = 20               // requests beyond that
)

// owner is an owner in the routes of a scarce run.
type owner struct {
	Name   string   `json:"name"`
	Keys   []string `json:"keys"` // of version 0, if they are replaced
	Rate   float64  `json:"rate,omitempty"`
	Burst  float64  `json:"burst,omitempty"`
	weight int      // share of the requests, in percent
	moves  bool     // its keys are replaced
}

// owners are the owners of a scarce run. The second one sends far more than its limit at the
// rates that fill the targets; the first one has none, and checks the recovery.
var owners = []owner{
	{Name: "ha", Keys: []string{"key-of-ha"}, weight: 35},
	{Name: "thu", Keys: []string{"key-of-thu", "other-key-of-thu"}, Rate: 8, Burst: 4, weight: 30},
	{Name: "dong", Keys: []string{"key-of-dong"}, Rate: 40, Burst: 20, weight: 15},
	{Name: "xuan", weight: 20, moves: true},
}

// keyOf returns the key of a generation of an owner whose keys are replaced.
func (o owner) keyOf(generation uint64) string {
	return fmt.Sprintf("key-%d-of-%s", generation, o.Name)
}

// at returns the owner as the routes of the version have it: a replaced key is announced one
// generation before and withdrawn with the next one.
func (o owner) at(version uint64) owner {
	if o.moves {
		o.Keys = []string{o.keyOf(version / keyLife), o.keyOf(version/keyLife + 1)}
	}
	return o
}

// credential is what a caller presents; the key belongs to the owner in the versions of the
// routes from first up to, without, end.
type credential struct {
	owner      string
	key        string // empty: none
	first, end uint64
	open       bool // the caller uses the open route, where no key is needed
}

// drawOpen draws what a caller of the open route presents while the version is in force: no key,
// or one that it has for other routes.
func drawOpen(version uint64) credential {
	c := credential{end: math.MaxUint64, open: true}
	if rand.IntN(2) == 0 {
		c.key = drawCredential(version).key
	}
	return c
}

// valid reports whether the key is valid in all versions from low to high.
func (c credential) valid(low, high uint64) bool { return c.first <= low && high < c.end }

// withdrawn reports whether the key is valid in no version from low on.
func (c credential) withdrawn(low uint64) bool { return c.end <= low }

// drawCredential draws what a caller presents while the version is in force.
func drawCredential(version uint64) credential {
	switch rand.IntN(2 * unknownKeys) {
	case 0:
		return credential{}
	case 1:
		return credential{key: "key-of-nobody"}
	}
	n := rand.IntN(100)
	for _, o := range owners {
		if n -= o.weight; n < 0 {
			return o.credential(version)
		}
	}
	return owners[0].credential(version)
}

func (o owner) credential(version uint64) credential {
	if !o.moves {
		return credential{owner: o.Name, key: o.Keys[rand.IntN(len(o.Keys))], end: math.MaxUint64}
	}
	generation := version/keyLife + rand.Uint64N(2)
	if rand.IntN(oldKeys) == 0 && generation > 2 {
		generation -= 2 + rand.Uint64N(2)
	}
	c := credential{owner: o.Name, key: o.keyOf(generation), end: (generation + 1) * keyLife}
	if generation > 0 {
		c.first = (generation - 1) * keyLife
	}
	return c
}

// limit returns the limit of the owner, false if it has none.
func limit(name string) (o owner, ok bool) {
	for _, o := range owners {
		if o.Name == name {
			return o, o.Rate > 0
		}
	}
	return owner{}, false
}
