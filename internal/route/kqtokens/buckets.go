package kqtokens

import (
	"math"
	"slices"
	"strings"
	"time"

	"kumquatglade/internal/state/kqroutes"
)

// maxTurn bounds the time after which a refused caller is asked to return. Callers wait 5 s and
// more, and a limit that is raised meanwhile is noticed after this time.
const maxTurn = 3 * time.Second

// turnShare is the time between the turns of two refused callers, as a share of the time in
// which a token grows. Not every caller returns, and not at once, so that more turns are given
// than tokens grow; the callers that come too early are refused again.
const turnShare = 0.5

// epsilon hides rounding errors of a refill that should give a whole token.
const epsilon = 1e-9

// Buckets are the shares of all owners' limits that one of n voters grants. Not safe for
// concurrent use.
type Buckets struct {
	params  Params
	n       int // voters among which limits are divided
	byOwner map[string]*bucket
}

// bucket is the share of one owner's limit.
type bucket struct {
	rate, burst      float64 // of the whole limit; a rate of 0 grants everything
	tokens           float64
	at               time.Time // of tokens
	lastTurn         time.Time // when the caller that was refused last may return
	refusedAt        time.Time // when a request that could be answered in time was last refused
	loweredBy        uint64    // version of the document from which Lower has the limit
	granted, refused int64
}

// NewBuckets returns buckets without owners.
func NewBuckets(p Params) *Buckets { return &Buckets{params: p, n: 1} }

// Set replaces the owners, which are those of a version of the routes document, and the number of
// voters. Buckets of known owners keep their tokens, up to the new depth.
func (b *Buckets) Set(version uint64, owners []kqroutes.Owner, n int, now time.Time) {
	next := make(map[string]*bucket, len(owners))
	for i := range owners {
		o := &owners[i]
		k := b.byOwner[o.Name]
		if k == nil {
			k = &bucket{tokens: startTokens, at: now}
		} else {
			b.refill(k, now)
		}
		if k.loweredBy <= version {
			k.rate, k.burst = o.Rate, o.Burst
		}
		next[o.Name] = k
	}
	b.byOwner, b.n = next, n
	for _, k := range next {
		k.tokens = min(k.tokens, b.depth(k))
	}
}

func (b *Buckets) depth(k *bucket) float64 {
	return k.burst/float64(b.n) + b.params.rounding(b.n)
}

// interval returns the time in which the share grows by one token.
func (k *bucket) interval(n int) time.Duration {
	return time.Duration(min(float64(n)/k.rate*float64(time.Second), math.MaxInt64/2))
}

func (b *Buckets) refill(k *bucket, now time.Time) {
	if d := now.Sub(k.at); d > 0 {
		k.tokens = min(k.tokens+d.Seconds()*k.rate/float64(b.n), b.depth(k))
		k.at = now
	}
}

// Want is what an entry host asks for one owner.
type Want struct {
	Owner string `json:"owner"`
	Count int    `json:"count"`          // tokens for requests that wait
	More  int    `json:"more,omitempty"` // further tokens that would save a message
	Late  int    `json:"late,omitempty"` // tokens for requests whose answers cannot be in time

	Rate  float64 `json:"rate"` // limit as known to the entry host
	Burst float64 `json:"burst,omitempty"`
}

// Grant is the answer to a Want.
type Grant struct {
	Count   int           `json:"count,omitempty"`
	Wait    time.Duration `json:"wait,omitempty"`    // if Count is less than asked for: until the turn of the next request
	Unknown bool          `json:"unknown,omitempty"` // the voter's routes document does not have the owner
}

// Lower lowers a limit to that of an entry host whose routes document has the version and is
// newer than this voter's, which may be cut off from its peers.
func (b *Buckets) Lower(version uint64, w Want, now time.Time) {
	k := b.byOwner[w.Owner]
	if k == nil || w.Rate <= 0 || k.rate > 0 && w.Rate >= k.rate && w.Burst >= k.burst {
		return
	}
	b.refill(k, now)
	k.loweredBy = max(k.loweredBy, version)
	if k.rate <= 0 {
		k.rate, k.burst, k.tokens = w.Rate, w.Burst, startTokens
	}
	k.rate, k.burst = min(k.rate, w.Rate), min(k.burst, max(w.Burst, 0))
	k.tokens = min(k.tokens, b.depth(k))
}

// excessTime is how long after a refusal an owner counts as beyond its limit: longer than the
// tokens of a share of one request per second take to grow.
const excessTime = 2 * time.Second

// maxCount bounds what one message may ask for one owner; a host has fewer requests waiting.
const maxCount = 1000

// Take grants tokens. Tokens that the host only might need are granted from a bucket that is at
// least half full, so that none expire unused when they are scarce.
func (b *Buckets) Take(w Want, now time.Time) Grant {
	k := b.byOwner[w.Owner]
	if k == nil {
		return Grant{Unknown: true}
	}
	count, more, late := min(max(w.Count, 0), maxCount), min(max(w.More, 0), maxCount), min(max(w.Late, 0), maxCount)
	if k.rate <= 0 {
		k.granted += int64(count + more + late)
		return Grant{Count: count + more + late}
	}
	b.refill(k, now)
	g := Grant{Count: min(count, int(k.tokens+epsilon))}
	k.tokens -= float64(g.Count)
	if late > 0 && now.Sub(k.refusedAt) >= excessTime {
		n := min(late, int(k.tokens+epsilon))
		g.Count += n
		k.tokens -= float64(n)
		k.granted += int64(n)
		return g
	}
	if g.Count < count {
		k.refusedAt = now
		k.refused += int64(count - g.Count)
		g.Wait = k.nextTurn(b.n, now)
	} else if spare := int(k.tokens - b.depth(k)/2 + epsilon); spare > 0 {
		spare = min(spare, more)
		g.Count += spare
		k.tokens -= float64(spare)
	}
	k.granted += int64(g.Count)
	return g
}

// nextTurn returns the time until the next token that is not promised to a caller refused
// earlier.
func (k *bucket) nextTurn(n int, now time.Time) time.Duration {
	interval := k.interval(n)
	next := now.Add(min(time.Duration((1-k.tokens)*float64(interval)), maxTurn))
	if later := k.lastTurn.Add(min(time.Duration(turnShare*float64(interval)), maxTurn)); later.After(next) {
		next = later
	}
	if latest := now.Add(maxTurn); next.After(latest) {
		next = latest
	}
	k.lastTurn = next
	return next.Sub(now)
}

// Use is what a voter granted one owner since its start.
type Use struct {
	Owner   string  `json:"owner"`
	Rate    float64 `json:"rate"`   // requests per second of the whole limit
	Burst   float64 `json:"burst"`  // requests of the whole limit
	Tokens  float64 `json:"tokens"` // in this voter's share now
	Granted int64   `json:"granted"`
	Refused int64   `json:"refused"`
}

// Uses returns the use of all owners with a limit, sorted by name.
func (b *Buckets) Uses(now time.Time) []Use {
	var list []Use
	for name, k := range b.byOwner {
		if k.rate <= 0 {
			continue
		}
		b.refill(k, now)
		list = append(list, Use{name, k.rate, k.burst, k.tokens, k.granted, k.refused})
	}
	slices.SortFunc(list, func(a, b Use) int { return strings.Compare(a.Owner, b.Owner) })
	return list
}
