package kqguard

import (
	"time"
)

const (
	// Retention is how long a key is remembered.
	Retention = 10 * time.Minute

	// ClaimTime bounds a claim at its claimant: grants that come later do not
	// count any more.
	ClaimTimeout = 500 * time.Millisecond

	// settleTime is how long a restarted guard waits before it copies. A claim
	// that it granted before, and forgot, is by then held by a majority, which
	// the copies show, or will never be.
	recoveryDelay = 4 * ClaimTimeout

	maxClaims        = 200_000  // claims held on one host
	maxResponseBytes = 32 << 20 // kept answers on one host
	// MaxAnswer bounds the body of one kept answer in bytes.
	MaxResponseBody = 16 << 10
)

// Claim is what a guard holds for one key.
type Claim struct {
	Key         string    `json:"key"`
	Fingerprint string    `json:"request"` // fingerprint of the request
	Call        string    `json:"call"`    // the call that claimed it
	Epoch       uint64    `json:"epoch"`   // host list under which it was claimed
	ExpiresAt   time.Time `json:"until"`
	Response    *Response `json:"answer,omitempty"`
}

// Answer is a kept answer of a target.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Word says what a guard answers to a claim.
type Outcome string

// Words.
const (
	Granted Outcome = "granted"
	Held    Outcome = "held"    // by another call, which may have run
	Done    Outcome = "done"    // the answer is kept
	Abstain Outcome = "abstain" // this guard cannot say
)

// Reply answers a claim.
type Reply struct {
	Outcome     Outcome   `json:"word"`
	Fingerprint string    `json:"request,omitempty"`
	Response    *Response `json:"answer,omitempty"`
}

// Event is an input of the Guard.
type Event interface{ guardEvent() }

// Ask claims a key.
type Acquire struct{ Claim Claim }

// Keep notes the answer of a claim's call.
type StoreResponse struct {
	Key, Call string
	Response  *Response
}

// Release gives a claim up whose call certainly did not run.
type Release struct{ Key, Call string }

// Listed brings the host list in force; Epoch grows with each list.
type HostsChanged struct {
	Epoch       uint64
	Hosts       []string
	FirstListed bool // this host was never in a list before: it cannot have lost claims
}

// Copied brings the claims of another host that holds the list of the epoch.
type ClaimsReceived struct {
	From     string
	Epoch    uint64
	Complete bool // the other host has lost nothing that it may have held
	Claims   []Claim
}

// Tick passes time.
type Tick struct{}

func (Acquire) guardEvent()        {}
func (StoreResponse) guardEvent()  {}
func (Release) guardEvent()        {}
func (HostsChanged) guardEvent()   {}
func (ClaimsReceived) guardEvent() {}
func (Tick) guardEvent()           {}

// Effect is an output of the Guard.
type Effect interface{ guardEffect() }

// Answered replies to an Ask.
type SendReply struct{ Reply Reply }

// Copy asks a host for its claims under the epoch.
type FetchClaims struct {
	From  string
	Epoch uint64
}

// Ready says that the guard answers again.
type Ready struct{ Epoch uint64 }

func (SendReply) guardEffect()   {}
func (FetchClaims) guardEffect() {}
func (Ready) guardEffect()       {}

// copyEvery is the time between two requests for the claims of a host.
const copyInterval = 500 * time.Millisecond

// Guard is the reducer of the claims on one host.
type Guard struct {
	host              string
	claims            map[string]*Claim
	responseBytes     int
	complete          bool // nothing that this host may have held is lost
	ready             bool
	epoch             uint64
	hosts             []string
	copiedFrom        map[string]bool // hosts whose claims were taken under the epoch
	started           time.Time
	copiesRequestedAt time.Time
	expiredRemovedAt  time.Time
	effects           []Effect
}

// New returns the Guard of a host that starts now with empty memory.
func New(host string, now time.Time) *Guard {
	return &Guard{host: host, claims: map[string]*Claim{}, copiedFrom: map[string]bool{}, started: now}
}

// Reduce handles one event.
func (g *Guard) Reduce(now time.Time, ev Event) []Effect {
	g.effects = nil
	switch ev := ev.(type) {
	case Acquire:
		g.emit(SendReply{g.acquire(now, ev.Claim)})
	case StoreResponse:
		g.storeResponse(ev)
	case Release:
		if c := g.claims[ev.Key]; c != nil && c.Call == ev.Call && c.Response == nil {
			delete(g.claims, ev.Key)
		}
	case HostsChanged:
		g.hostsChanged(now, ev)
	case ClaimsReceived:
		g.mergeClaims(now, ev)
	case Tick:
		g.tick(now)
	}
	return g.effects
}

func (g *Guard) emit(e Effect) {
	g.effects = append(g.effects, e)
}

// ask grants a key at most once, and only under the list that both know.
func (g *Guard) acquire(now time.Time, c Claim) Reply {
	if !g.ready || c.Epoch != g.epoch {
		return Reply{Outcome: Abstain}
	}
	have := g.claims[c.Key]
	if have != nil && now.After(have.ExpiresAt) {
		g.remove(have)
		have = nil
	}
	switch {
	case have == nil && len(g.claims) >= maxClaims:
		return Reply{Outcome: Abstain}
	case have == nil:
		c.Response, c.ExpiresAt = nil, now.Add(Retention)
		g.claims[c.Key] = &c
		return Reply{Outcome: Granted}
	case have.Call == c.Call:
		return Reply{Outcome: Granted} // asked again by the same call
	case have.Response != nil:
		return Reply{Outcome: Done, Fingerprint: have.Fingerprint, Response: have.Response}
	}
	return Reply{Outcome: Held, Fingerprint: have.Fingerprint}
}

func (g *Guard) storeResponse(ev StoreResponse) {
	c := g.claims[ev.Key]
	if c == nil || c.Call != ev.Call || c.Response != nil || ev.Response == nil {
		return
	}
	if len(ev.Response.Body) > MaxResponseBody || g.responseBytes+len(ev.Response.Body) > maxResponseBytes {
		return // the key stays taken, only its answer is not kept
	}
	c.Response = ev.Response
	g.responseBytes += len(ev.Response.Body)
}

func (g *Guard) remove(c *Claim) {
	if c.Response != nil {
		g.responseBytes -= len(c.Response.Body)
	}
	delete(g.claims, c.Key)
}

// listed starts to copy anew: another list may give a key other guards.
func (g *Guard) hostsChanged(now time.Time, ev HostsChanged) {
	if ev.Epoch <= g.epoch {
		return
	}
	if g.epoch == 0 {
		g.complete = ev.FirstListed
	}
	g.epoch, g.hosts, g.ready = ev.Epoch, ev.Hosts, false
	g.copiedFrom = map[string]bool{}
	g.updateReady(now)
	g.requestCopies(now)
}

// forgets reports whether claims may still be under way that this host granted
// before its restart.
func (g *Guard) recovering(now time.Time) bool {
	return !g.complete && now.Sub(g.started) < recoveryDelay
}

// copy takes the claims that another host holds.
func (g *Guard) mergeClaims(now time.Time, ev ClaimsReceived) {
	if ev.Epoch != g.epoch || g.recovering(now) {
		return
	}
	for _, c := range ev.Claims {
		have := g.claims[c.Key]
		switch {
		case have == nil && now.Before(c.ExpiresAt) && len(g.claims) < maxClaims:
			if c.Response != nil {
				g.responseBytes += len(c.Response.Body)
			}
			g.claims[c.Key] = &c
		case have != nil && have.Response == nil && c.Response != nil:
			g.storeResponse(StoreResponse{Key: c.Key, Call: c.Call, Response: c.Response})
		}
	}
	if ev.Complete {
		g.copiedFrom[ev.From] = true
	}
	g.updateReady(now)
}

// settle makes the guard answer once no claim of a majority can be missing
// here: the claims of fewer hosts than a majority may be, counting this host
// if it lost its memory.
func (g *Guard) updateReady(now time.Time) {
	if g.ready || g.epoch == 0 || g.recovering(now) {
		return
	}
	missing := 0
	for _, h := range g.hosts {
		if h != g.host && !g.copiedFrom[h] {
			missing++
		}
	}
	if !g.complete {
		missing++
	}
	if missing >= Majority(len(g.hosts)) && now.Sub(g.started) < Retention {
		return
	}
	g.ready, g.complete = true, true
	g.emit(Ready{g.epoch})
}

func (g *Guard) tick(now time.Time) {
	g.updateReady(now)
	if now.Sub(g.copiesRequestedAt) >= copyInterval {
		g.requestCopies(now)
	}
	if now.Sub(g.expiredRemovedAt) >= Retention/20 {
		g.expiredRemovedAt = now
		for _, c := range g.claims {
			if now.After(c.ExpiresAt) {
				g.remove(c)
			}
		}
	}
}

// askCopies asks the hosts whose claims are missing, also once this guard
// answers: the last missing host may hold more.
func (g *Guard) requestCopies(now time.Time) {
	g.copiesRequestedAt = now
	if g.recovering(now) {
		return
	}
	for _, h := range g.hosts {
		if h != g.host && !g.copiedFrom[h] {
			g.emit(FetchClaims{From: h, Epoch: g.epoch})
		}
	}
}

// Claims answers a Copy: what this host holds, false if it does not act under
// the epoch yet.
func (g *Guard) Claims(epoch uint64) (c ClaimsReceived, ok bool) {
	if epoch != g.epoch {
		return ClaimsReceived{}, false
	}
	c = ClaimsReceived{From: g.host, Epoch: epoch, Complete: g.complete}
	for _, k := range g.claims {
		c.Claims = append(c.Claims, *k)
	}
	return c, true
}

// Status is what operators see of the guard.
type Status struct {
	Ready  bool `json:"ready"`
	Claims int  `json:"claims"`
	Bytes  int  `json:"bytes"` // of kept answers
}

// Status returns what operators may see.
func (g *Guard) Status() Status {
	return Status{Ready: g.ready, Claims: len(g.claims), Bytes: g.responseBytes}
}
