package kqguard

import (
	"time"
)

const (
	// Retention is how long a key is remembered.
	Retention = 10 * time.Minute

	// ClaimTime bounds a claim at its claimant: grants that come later do not
	// count any more.
	ClaimTime = 500 * time.Millisecond

	// settleTime is how long a restarted guard waits before it copies. A claim
	// that it granted before, and forgot, is by then held by a majority, which
	// the copies show, or will never be.
	settleTime = 4 * ClaimTime

	maxClaims = 200_000  // claims held on one host
	maxBytes  = 32 << 20 // kept answers on one host
	// MaxAnswer bounds the body of one kept answer in bytes.
	MaxAnswer = 16 << 10
)

// Claim is what a guard holds for one key.
type Claim struct {
	Key     string    `json:"key"`
	Request string    `json:"request"` // fingerprint of the request
	Call    string    `json:"call"`    // the call that claimed it
	Epoch   uint64    `json:"epoch"`   // host list under which it was claimed
	Until   time.Time `json:"until"`
	Answer  *Answer   `json:"answer,omitempty"`
}

// Answer is a kept answer of a target.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Word says what a guard answers to a claim.
type Word string

// Words.
const (
	Granted Word = "granted"
	Held    Word = "held"    // by another call, which may have run
	Done    Word = "done"    // the answer is kept
	Abstain Word = "abstain" // this guard cannot say
)

// Reply answers a claim.
type Reply struct {
	Word    Word    `json:"word"`
	Request string  `json:"request,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
}

// Event is an input of the Guard.
type Event interface{ guardEvent() }

// Ask claims a key.
type Ask struct{ Claim Claim }

// Keep notes the answer of a claim's call.
type Keep struct {
	Key, Call string
	Answer    *Answer
}

// Release gives a claim up whose call certainly did not run.
type Release struct{ Key, Call string }

// Listed brings the host list in force; Epoch grows with each list.
type Listed struct {
	Epoch uint64
	Hosts []string
	New   bool // this host was never in a list before: it cannot have lost claims
}

// Copied brings the claims of another host that holds the list of the epoch.
type Copied struct {
	From   string
	Epoch  uint64
	Whole  bool // the other host has lost nothing that it may have held
	Claims []Claim
}

// Tick passes time.
type Tick struct{}

func (Ask) guardEvent()     {}
func (Keep) guardEvent()    {}
func (Release) guardEvent() {}
func (Listed) guardEvent()  {}
func (Copied) guardEvent()  {}
func (Tick) guardEvent()    {}

// Effect is an output of the Guard.
type Effect interface{ guardEffect() }

// Answered replies to an Ask.
type Answered struct{ Reply Reply }

// Copy asks a host for its claims under the epoch.
type Copy struct {
	From  string
	Epoch uint64
}

// Ready says that the guard answers again.
type Ready struct{ Epoch uint64 }

func (Answered) guardEffect() {}
func (Copy) guardEffect()     {}
func (Ready) guardEffect()    {}

// copyEvery is the time between two requests for the claims of a host.
const copyEvery = 500 * time.Millisecond

// Guard is the reducer of the claims on one host.
type Guard struct {
	host    string
	claims  map[string]*Claim
	bytes   int
	whole   bool // nothing that this host may have held is lost
	ready   bool
	epoch   uint64
	hosts   []string
	copied  map[string]bool // hosts whose claims were taken under the epoch
	started time.Time
	asked   time.Time
	swept   time.Time
	effects []Effect
}

// New returns the Guard of a host that starts now with empty memory.
func New(host string, now time.Time) *Guard {
	return &Guard{host: host, claims: map[string]*Claim{}, copied: map[string]bool{}, started: now}
}

// Reduce handles one event.
func (g *Guard) Reduce(now time.Time, ev Event) []Effect {
	g.effects = nil
	switch ev := ev.(type) {
	case Ask:
		g.emit(Answered{g.ask(now, ev.Claim)})
	case Keep:
		g.keep(ev)
	case Release:
		if c := g.claims[ev.Key]; c != nil && c.Call == ev.Call && c.Answer == nil {
			delete(g.claims, ev.Key)
		}
	case Listed:
		g.listed(now, ev)
	case Copied:
		g.copy(now, ev)
	case Tick:
		g.tick(now)
	}
	return g.effects
}

func (g *Guard) emit(e Effect) {
	g.effects = append(g.effects, e)
}

// ask grants a key at most once, and only under the list that both know.
func (g *Guard) ask(now time.Time, c Claim) Reply {
	if !g.ready || c.Epoch != g.epoch {
		return Reply{Word: Abstain}
	}
	have := g.claims[c.Key]
	if have != nil && now.After(have.Until) {
		g.drop(have)
		have = nil
	}
	switch {
	case have == nil && len(g.claims) >= maxClaims:
		return Reply{Word: Abstain}
	case have == nil:
		c.Answer, c.Until = nil, now.Add(Retention)
		g.claims[c.Key] = &c
		return Reply{Word: Granted}
	case have.Call == c.Call:
		return Reply{Word: Granted} // asked again by the same call
	case have.Answer != nil:
		return Reply{Word: Done, Request: have.Request, Answer: have.Answer}
	}
	return Reply{Word: Held, Request: have.Request}
}

func (g *Guard) keep(ev Keep) {
	c := g.claims[ev.Key]
	if c == nil || c.Call != ev.Call || c.Answer != nil || ev.Answer == nil {
		return
	}
	if len(ev.Answer.Body) > MaxAnswer || g.bytes+len(ev.Answer.Body) > maxBytes {
		return // the key stays taken, only its answer is not kept
	}
	c.Answer = ev.Answer
	g.bytes += len(ev.Answer.Body)
}

func (g *Guard) drop(c *Claim) {
	if c.Answer != nil {
		g.bytes -= len(c.Answer.Body)
	}
	delete(g.claims, c.Key)
}

// listed starts to copy anew: another list may give a key other guards.
func (g *Guard) listed(now time.Time, ev Listed) {
	if ev.Epoch <= g.epoch {
		return
	}
	if g.epoch == 0 {
		g.whole = ev.New
	}
	g.epoch, g.hosts, g.ready = ev.Epoch, ev.Hosts, false
	g.copied = map[string]bool{}
	g.settle(now)
	g.askCopies(now)
}

// forgets reports whether claims may still be under way that this host granted
// before its restart.
func (g *Guard) forgets(now time.Time) bool {
	return !g.whole && now.Sub(g.started) < settleTime
}

// copy takes the claims that another host holds.
func (g *Guard) copy(now time.Time, ev Copied) {
	if ev.Epoch != g.epoch || g.forgets(now) {
		return
	}
	for _, c := range ev.Claims {
		have := g.claims[c.Key]
		switch {
		case have == nil && now.Before(c.Until) && len(g.claims) < maxClaims:
			if c.Answer != nil {
				g.bytes += len(c.Answer.Body)
			}
			g.claims[c.Key] = &c
		case have != nil && have.Answer == nil && c.Answer != nil:
			g.keep(Keep{Key: c.Key, Call: c.Call, Answer: c.Answer})
		}
	}
	if ev.Whole {
		g.copied[ev.From] = true
	}
	g.settle(now)
}

// settle makes the guard answer once no claim of a majority can be missing
// here: the claims of fewer hosts than a majority may be, counting this host
// if it lost its memory.
func (g *Guard) settle(now time.Time) {
	if g.ready || g.epoch == 0 || g.forgets(now) {
		return
	}
	missing := 0
	for _, h := range g.hosts {
		if h != g.host && !g.copied[h] {
			missing++
		}
	}
	if !g.whole {
		missing++
	}
	if missing >= Majority(len(g.hosts)) && now.Sub(g.started) < Retention {
		return
	}
	g.ready, g.whole = true, true
	g.emit(Ready{g.epoch})
}

func (g *Guard) tick(now time.Time) {
	g.settle(now)
	if now.Sub(g.asked) >= copyEvery {
		g.askCopies(now)
	}
	if now.Sub(g.swept) >= Retention/20 {
		g.swept = now
		for _, c := range g.claims {
			if now.After(c.Until) {
				g.drop(c)
			}
		}
	}
}

// askCopies asks the hosts whose claims are missing, also once this guard
// answers: the last missing host may hold more.
func (g *Guard) askCopies(now time.Time) {
	g.asked = now
	if g.forgets(now) {
		return
	}
	for _, h := range g.hosts {
		if h != g.host && !g.copied[h] {
			g.emit(Copy{From: h, Epoch: g.epoch})
		}
	}
}

// Claims answers a Copy: what this host holds, false if it does not act under
// the epoch yet.
func (g *Guard) Claims(epoch uint64) (c Copied, ok bool) {
	if epoch != g.epoch {
		return Copied{}, false
	}
	c = Copied{From: g.host, Epoch: epoch, Whole: g.whole}
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
	return Status{Ready: g.ready, Claims: len(g.claims), Bytes: g.bytes}
}
