package kqidempotency

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqguard"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

// Request kinds between entry hosts.
const (
	MethodClaim   = "claim"
	MethodStore   = "keep"
	MethodRelease = "release"
	MethodCopy    = "copy"
)

const (
	tickInterval   = 500 * time.Millisecond
	copyTimeout    = 2 * time.Second // limit for fetching the claims of one host
	notifyAttempts = 3               // attempts to send the result of a call to one of its guards
)

// Config holds the settings of a Coordinator.
type Config struct {
	Link   kq.Link
	Clock  kq.Clock
	Events *kqevent.Recorder
}

// Coordinator claims idempotency keys for the calls of one host, and runs the host's
// kqguard.Guard, which stores claims of calls through any entry host. It is safe for
// concurrent use.
type Coordinator struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu    sync.Mutex
	guard *kqguard.Guard
	epoch uint64
	hosts []kqcontract.EntryHost
}

// New returns a running Coordinator.
func New(cfg Config) *Coordinator {
	ctx, stop := context.WithCancel(context.Background())
	k := &Coordinator{cfg: cfg, ctx: ctx, stop: stop, guard: kqguard.New(cfg.Link.Host(), cfg.Clock.Now())}
	k.wg.Go(k.tickLoop)
	return k
}

// Close stops the coordinator and waits for its background work.
func (co *Coordinator) Close() {
	co.stop()
	co.wg.Wait()
}

func (co *Coordinator) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-co.ctx.Done():
			return
		case <-ticker.C:
			co.handleEvent(kqguard.Tick{})
		}
	}
}

// SetHosts sets the host list in force and its epoch. isNew says that no list
// contained this host before it started, so it cannot have lost claims.
func (co *Coordinator) SetHosts(epoch uint64, hosts []kqcontract.EntryHost, isNew bool) {
	co.mu.Lock()
	co.epoch, co.hosts = epoch, hosts
	co.mu.Unlock()
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	co.handleEvent(kqguard.HostsChanged{Epoch: epoch, Hosts: names, FirstListed: isNew})
}

// handleEvent passes an event to the guard, carries out its effects and returns
// its reply, or the zero value if it has none.
func (co *Coordinator) handleEvent(ev kqguard.Event) kqguard.Reply {
	co.mu.Lock()
	effects := co.guard.Reduce(co.cfg.Clock.Now(), ev)
	co.mu.Unlock()
	var reply kqguard.Reply
	for _, eff := range effects {
		switch eff := eff.(type) {
		case kqguard.SendReply:
			reply = eff.Reply
		case kqguard.FetchClaims:
			co.wg.Go(func() { co.copyClaims(eff) })
		case kqguard.Ready:
			co.cfg.Events.Add(kqevent.Event{Component: "guard", Kind: "ready", ContractRevision: eff.Epoch})
		}
	}
	return reply
}

// copyClaims fetches the claims that another host stores.
func (co *Coordinator) copyClaims(eff kqguard.FetchClaims) {
	ctx, cancel := context.WithTimeout(co.ctx, copyTimeout)
	defer cancel()
	var c kqguard.ClaimsReceived
	if err := co.cfg.Link.Call(ctx, eff.From, MethodCopy, copyRequest{eff.Epoch}, &c); err != nil {
		return // the guard retries on a later tick
	}
	c.From = eff.From
	co.handleEvent(c)
}

// copyRequest asks for all claims that a host stores under an epoch.
type copyRequest struct {
	Epoch uint64 `json:"epoch"`
}

// outcome is the wire format of a claimed call's result: its response, or none if
// the claim is released.
type outcome struct {
	Key      string            `json:"key"`
	Call     string            `json:"call"`
	Response *kqguard.Response `json:"answer,omitempty"`
}

// HandleRequest handles a request of another entry host and returns the reply. It
// returns an error if the body is malformed or the epoch is not in force.
func (co *Coordinator) HandleRequest(kind string, body json.RawMessage) (any, error) {
	switch kind {
	case MethodClaim:
		var c kqguard.Claim
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, errors.Wrap(err, "guard: claim")
		}
		return co.handleEvent(kqguard.Acquire{Claim: c}), nil
	case MethodRelease, MethodStore:
		var o outcome
		if err := json.Unmarshal(body, &o); err != nil {
			return nil, errors.Wrapf(err, "guard: %s", kind)
		}
		if kind == MethodStore {
			co.handleEvent(kqguard.StoreResponse{Key: o.Key, Call: o.Call, Response: o.Response})
			return nil, nil
		}
		co.handleEvent(kqguard.Release{Key: o.Key, Call: o.Call})
		return nil, nil
	}
	var r copyRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "guard: copy")
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	c, ok := co.guard.Claims(r.Epoch)
	if !ok {
		return nil, errors.Newf("guard: epoch %d is not in force here", r.Epoch)
	}
	return c, nil
}

// Status returns the state of the guard for operators.
func (co *Coordinator) Status() kqguard.Status {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.guard.Status()
}
