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

// Methods between entry hosts.
const (
	MethodClaim   = "claim"
	MethodStore   = "keep"
	MethodRelease = "release"
	MethodCopy    = "copy"
)

const (
	tickInterval   = 500 * time.Millisecond
	copyTimeout    = 2 * time.Second
	notifyAttempts = 3
)

// Config constructs a Keeper.
type Config struct {
	Link   kq.Link
	Clock  kq.Clock
	Events *kqevent.Recorder
}

// Keeper is the guard of one host and the claimant of its calls.
type Coordinator struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu    sync.Mutex
	guard *kqguard.Guard
	epoch uint64
	hosts []kqcontract.Host
}

// New returns a running Keeper.
func New(cfg Config) *Coordinator {
	ctx, stop := context.WithCancel(context.Background())
	k := &Coordinator{cfg: cfg, ctx: ctx, stop: stop, guard: kqguard.New(cfg.Link.Host(), cfg.Clock.Now())}
	k.wg.Go(k.tickLoop)
	return k
}

// Close stops the keeper.
func (k *Coordinator) Close() {
	k.stop()
	k.wg.Wait()
}

func (k *Coordinator) tickLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-tick.C:
			k.handleEvent(kqguard.Tick{})
		}
	}
}

// Enforce takes the host list in force; isNew says that this host was in no
// list before it started.
func (k *Coordinator) SetHosts(epoch uint64, hosts []kqcontract.Host, isNew bool) {
	k.mu.Lock()
	k.epoch, k.hosts = epoch, hosts
	k.mu.Unlock()
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	k.handleEvent(kqguard.HostsChanged{Epoch: epoch, Hosts: names, FirstListed: isNew})
}

// feed gives the guard one event and returns its reply, if it has one.
func (k *Coordinator) handleEvent(ev kqguard.Event) kqguard.Reply {
	k.mu.Lock()
	effects := k.guard.Reduce(k.cfg.Clock.Now(), ev)
	k.mu.Unlock()
	var reply kqguard.Reply
	for _, eff := range effects {
		switch eff := eff.(type) {
		case kqguard.SendReply:
			reply = eff.Reply
		case kqguard.FetchClaims:
			k.wg.Go(func() { k.copyClaims(eff) })
		case kqguard.Ready:
			k.cfg.Events.Add(kqevent.Event{Part: "guard", Kind: "ready", Change: eff.Epoch})
		}
	}
	return reply
}

// copy fetches the claims of another host.
func (k *Coordinator) copyClaims(eff kqguard.FetchClaims) {
	ctx, cancel := context.WithTimeout(k.ctx, copyTimeout)
	defer cancel()
	var c kqguard.ClaimsReceived
	if err := k.cfg.Link.Call(ctx, eff.From, MethodCopy, copyRequest{eff.Epoch}, &c); err != nil {
		return // the next tick asks again
	}
	c.From = eff.From
	k.handleEvent(c)
}

// copyRequest asks for the claims under an epoch.
type copyRequest struct {
	Epoch uint64 `json:"epoch"`
}

// outcome is the wire form of how a claimed call ended.
type outcome struct {
	Key      string            `json:"key"`
	Call     string            `json:"call"`
	Response *kqguard.Response `json:"answer,omitempty"`
}

// Answer handles a request of another entry host.
func (k *Coordinator) HandleRequest(kind string, body json.RawMessage) (any, error) {
	switch kind {
	case MethodClaim:
		var c kqguard.Claim
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, errors.Wrap(err, "guard: claim")
		}
		return k.handleEvent(kqguard.Acquire{Claim: c}), nil
	case MethodRelease, MethodStore:
		var o outcome
		if err := json.Unmarshal(body, &o); err != nil {
			return nil, errors.Wrapf(err, "guard: %s", kind)
		}
		if kind == MethodStore {
			k.handleEvent(kqguard.StoreResponse{Key: o.Key, Call: o.Call, Response: o.Response})
			return nil, nil
		}
		k.handleEvent(kqguard.Release{Key: o.Key, Call: o.Call})
		return nil, nil
	}
	var r copyRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "guard: copy")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.guard.Claims(r.Epoch)
	if !ok {
		return nil, errors.Newf("guard: epoch %d is not in force here", r.Epoch)
	}
	return c, nil
}

// Status returns what operators see of the guard.
func (k *Coordinator) Status() kqguard.Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.guard.Status()
}
