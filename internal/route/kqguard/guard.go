package kqguard

import (
	"time"
)

const (
	// Retention is how long a guard keeps a claim and its response.
	Retention = 10 * time.Minute

	// ClaimTimeout is how long the host that claims a key waits for grants. Grants
	// that arrive later do not count.
	ClaimTimeout = 500 * time.Millisecond

	// recoveryDelay is how long a restarted guard waits before it copies claims.
	// A claim that it granted before the restart either is held by a majority by
	// then, so that the copies contain it, or will never be.
	recoveryDelay = 4 * ClaimTimeout

	maxClaims        = 200_000  // claims stored on one host
	maxResponseBytes = 32 << 20 // stored responses on one host
	maxResponseHead  = 16 << 10 // bytes of the header of one stored response
	headerFieldBytes = 128      // memory of a header field besides its name and value
	// MaxResponseBody is the maximum size of one stored response body in bytes.
	MaxResponseBody = 16 << 10
)

// Claim is what a guard stores for one key.
type Claim struct {
	Key         string    `json:"key"`
	Fingerprint string    `json:"request"` // hash of the request, to detect reuse of the key for another one
	Call        string    `json:"call"`    // ID of the call that claimed the key
	Epoch       uint64    `json:"epoch"`   // epoch of the host list under which the key was claimed
	ExpiresAt   time.Time `json:"until"`
	Response    *Response `json:"answer,omitempty"`
}

// Response is a target's response, stored to answer repeated calls.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// size returns the bytes of memory that the response takes: its body and its header.
func (r *Response) size() (body, head int) {
	for name, values := range r.Header {
		head += len(name)
		for _, v := range values {
			head += headerFieldBytes + len(v)
		}
	}
	return len(r.Body), head
}

// Outcome is a guard's decision on a claim.
type Outcome string

// Outcomes of a claim.
const (
	Granted Outcome = "granted"
	Held    Outcome = "held"    // claimed by another call, which may have run
	Done    Outcome = "done"    // another call has run and its response is stored
	Abstain Outcome = "abstain" // this guard cannot decide
)

// Reply is a guard's reply to an Acquire.
type Reply struct {
	Outcome     Outcome   `json:"word"`
	Fingerprint string    `json:"request,omitempty"`
	Response    *Response `json:"answer,omitempty"`
}

// Event is an input of the Guard.
type Event interface{ guardEvent() }

// Acquire claims a key for a call.
type Acquire struct{ Claim Claim }

// StoreResponse stores the response of the call that holds the claim.
type StoreResponse struct {
	Key, Call string
	Response  *Response
}

// Release removes a claim whose call certainly did not run.
type Release struct{ Key, Call string }

// HostsChanged carries the host list in force. Epoch grows with each list.
type HostsChanged struct {
	Epoch       uint64
	Hosts       []string
	FirstListed bool // this host was never in a list before, so it cannot have lost claims
}

// ClaimsReceived carries the claims of another host under the same host list.
type ClaimsReceived struct {
	From     string
	Epoch    uint64
	Complete bool `json:"Whole"` // the other host has lost none of its claims; the name on the wire is Whole
	Claims   []Claim
}

// Tick lets the Guard become ready, request copies and remove expired claims when
// they are due.
type Tick struct{}

func (Acquire) guardEvent()        {}
func (StoreResponse) guardEvent()  {}
func (Release) guardEvent()        {}
func (HostsChanged) guardEvent()   {}
func (ClaimsReceived) guardEvent() {}
func (Tick) guardEvent()           {}

// Effect is an output of the Guard.
type Effect interface{ guardEffect() }

// SendReply is the reply to an Acquire.
type SendReply struct{ Reply Reply }

// FetchClaims requests the claims of another host under the host list of Epoch.
type FetchClaims struct {
	From  string
	Epoch uint64
}

// Ready says that the guard decides on claims again.
type Ready struct{ Epoch uint64 }

func (SendReply) guardEffect()   {}
func (FetchClaims) guardEffect() {}
func (Ready) guardEffect()       {}

// copyInterval is the minimum time between two requests for other hosts' claims.
const copyInterval = 500 * time.Millisecond

// Guard is the reducer of the claims on one host.
type Guard struct {
	host              string
	claims            map[string]*Claim
	responseBytes     int
	complete          bool // this host has lost none of its claims
	ready             bool
	epoch             uint64
	hosts             []string
	copiedFrom        map[string]bool // hosts whose complete claims were merged under the current epoch
	started           time.Time
	copiesRequestedAt time.Time
	expiredRemovedAt  time.Time
	effects           []Effect
}

// New returns the Guard of a host that starts at now with empty memory.
func New(host string, now time.Time) *Guard {
	return &Guard{host: host, claims: map[string]*Claim{}, copiedFrom: map[string]bool{}, started: now}
}

// Reduce applies one event and returns the effects to carry out, in order.
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

// acquire grants a key to one call only, and only if the caller's host list has the
// same epoch as this guard's.
func (g *Guard) acquire(now time.Time, c Claim) Reply {
	if !g.ready || c.Epoch != g.epoch {
		return Reply{Outcome: Abstain}
	}
	existing := g.claims[c.Key]
	if existing != nil && now.After(existing.ExpiresAt) {
		g.remove(existing)
		existing = nil
	}
	switch {
	case existing == nil && len(g.claims) >= maxClaims:
		return Reply{Outcome: Abstain}
	case existing == nil:
		c.Response, c.ExpiresAt = nil, now.Add(Retention)
		g.claims[c.Key] = &c
		return Reply{Outcome: Granted}
	case existing.Call == c.Call:
		return Reply{Outcome: Granted} // repeated by the same call
	case existing.Response != nil:
		return Reply{Outcome: Done, Fingerprint: existing.Fingerprint, Response: existing.Response}
	}
	return Reply{Outcome: Held, Fingerprint: existing.Fingerprint}
}

func (g *Guard) storeResponse(ev StoreResponse) {
	c := g.claims[ev.Key]
	if c == nil || c.Call != ev.Call || c.Response != nil || ev.Response == nil {
		return
	}
	if g.reserve(ev.Response) {
		c.Response = ev.Response
	}
}

// reserve counts the response as stored if there is room. If not, its claim stays, and only
// the response is not stored.
func (g *Guard) reserve(r *Response) bool {
	body, head := r.size()
	if body > MaxResponseBody || head > maxResponseHead || g.responseBytes+body+head > maxResponseBytes {
		return false
	}
	g.responseBytes += body + head
	return true
}

func (g *Guard) remove(c *Claim) {
	if c.Response != nil {
		body, head := c.Response.size()
		g.responseBytes -= body + head
	}
	delete(g.claims, c.Key)
}

// hostsChanged makes the guard abstain until it has copied claims again, because a
// new list may give a key other guards.
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

// recovering reports whether claims that this host granted before a restart may
// still be waiting for other grants.
func (g *Guard) recovering(now time.Time) bool {
	return !g.complete && now.Sub(g.started) < recoveryDelay
}

// mergeClaims adds another host's claims, and the responses that this host lacks.
func (g *Guard) mergeClaims(now time.Time, ev ClaimsReceived) {
	if ev.Epoch != g.epoch || g.recovering(now) {
		return
	}
	for _, c := range ev.Claims {
		existing := g.claims[c.Key]
		switch {
		case existing == nil && now.Before(c.ExpiresAt) && len(g.claims) < maxClaims:
			if c.Response != nil && !g.reserve(c.Response) {
				c.Response = nil
			}
			g.claims[c.Key] = &c
		case existing != nil && existing.Response == nil && c.Response != nil:
			g.storeResponse(StoreResponse{Key: c.Key, Call: c.Call, Response: c.Response})
		}
	}
	if ev.Complete {
		g.copiedFrom[ev.From] = true
	}
	g.updateReady(now)
}

// updateReady makes the guard ready once no claim held by a majority can be missing
// here: fewer hosts than a majority are not copied yet, counting this host itself
// if it lost its memory. After Retention all lost claims have expired.
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

// requestCopies requests the claims of all hosts not yet copied. It continues after
// the guard is ready, because a host that is not copied yet may hold more claims.
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

// Claims returns this host's claims in reply to a FetchClaims, or false if the epoch
// is not the one in force here.
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

// Status is the guard's state as shown to operators.
type Status struct {
	Ready  bool `json:"ready"`
	Claims int  `json:"claims"`
	Bytes  int  `json:"bytes"` // total size of stored responses
}

// Status returns the guard's current state.
func (g *Guard) Status() Status {
	return Status{Ready: g.ready, Claims: len(g.claims), Bytes: g.responseBytes}
}
