package kqregistry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// Kinds of messages between entry hosts.
const (
	MethodTargets = "targets" // records that changed, one-way or as a call
	MethodDigest  = "digest"  // digest of the records whose leases the sender holds
	MethodSync    = "sync"    // asks for all records whose leases the receiver holds
	MethodLeaving = "leaving" // the sender is shutting down as planned
)

const (
	tickInterval     = 500 * time.Millisecond
	broadcastTimeout = 300 * time.Millisecond // a target's announcement is answered no later than this, even if peers did not reply
)

// targetList is the body of a MethodTargets message.
type targetList struct {
	Records []kqdirectory.Record `json:"records"`
}

// digest is the body of a MethodDigest message.
type digest struct {
	Digest string `json:"digest"`
}

// Config holds the settings of a TargetRegistry and the functions that it calls.
type Config struct {
	Host    string
	Link    kq.Link
	Clock   kq.Clock
	Events  *kqevent.Recorder
	Metrics metrics.Registry
	// View returns the current view, which holds the contracts, hosts and routes received
	// from the control hosts, or nil while this host must not serve calls.
	View func() *kqfeed.View
	// NewestView returns the newest known view, even while this host must not
	// serve calls; nil if there is none.
	NewestView func() *kqfeed.View
	// AllEntryHosts makes TargetRegistry.Preferred return all available entry hosts for every
	// service, for experiments.
	AllEntryHosts bool
	// OnUpdate is called, in order, with each changed record of a target. It must
	// not call the TargetRegistry, whose lock is held.
	OnUpdate func(kqdirectory.Record)
	// OnLoad is called with the record of a target that announced its load to this
	// host. It must not call the TargetRegistry, whose lock is held.
	OnLoad func(kqdirectory.Record)
}

// TargetRegistry runs the directory of targets on one entry host.
type TargetRegistry struct {
	cfg     Config
	done    chan struct{}
	wg      sync.WaitGroup
	refused metrics.Counter

	mu          sync.Mutex
	directory   *kqdirectory.Directory
	leaving     map[string]bool
	selfLeaving bool // this host is shutting down
}

// NewTargetRegistry returns a running TargetRegistry; Close stops it.
func NewTargetRegistry(cfg Config) *TargetRegistry {
	r := &TargetRegistry{
		cfg: cfg, done: make(chan struct{}), directory: kqdirectory.New(cfg.Host), leaving: map[string]bool{},
		refused: metrics.GetOrRegisterCounter("announcements.refused", cfg.Metrics),
	}
	r.wg.Add(1)
	go r.tick()
	return r
}

// Close stops the registry and waits for its goroutine.
func (r *TargetRegistry) Close() {
	close(r.done)
	r.wg.Wait()
}

func (r *TargetRegistry) tick() {
	defer r.wg.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-tick.C:
			r.perform(r.reduce(kqdirectory.Tick{}))
		}
	}
}

// reduce passes one event to the directory and carries out the local effects.
// It returns the effects that send messages, so that the caller can wait for the
// peers.
func (r *TargetRegistry) reduce(ev kqdirectory.Event) []kqdirectory.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remote []kqdirectory.Effect
	for _, eff := range r.directory.Reduce(r.cfg.Clock.Now(), ev) {
		switch eff := eff.(type) {
		case kqdirectory.Updated:
			r.recordEvent(eff.Record)
			r.cfg.OnUpdate(eff.Record)
		case kqdirectory.LoadReported:
			r.cfg.OnLoad(eff.Record)
		default:
			remote = append(remote, eff)
		}
	}
	return remote
}

func (r *TargetRegistry) recordEvent(rec kqdirectory.Record) {
	kind := string(rec.State)
	if rec.Expired {
		kind = "expired"
	}
	r.cfg.Events.Add(kqevent.Event{Component: "directory", Kind: kind, Service: rec.Service, Target: rec.ID, Peer: rec.Holder, Text: rec.Addr})
}

// peers returns the other entry hosts of the newest view.
func (r *TargetRegistry) peers() []string {
	v := r.cfg.NewestView()
	if v == nil {
		return nil
	}
	var list []string
	for _, h := range v.Hosts.Entry {
		if h.Name != r.cfg.Host {
			list = append(list, h.Name)
		}
	}
	return list
}

// perform sends the messages that the effects request, without waiting for
// replies.
func (r *TargetRegistry) perform(effects []kqdirectory.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case kqdirectory.BroadcastRecords:
			for _, p := range r.peers() {
				r.cfg.Link.Send(p, MethodTargets, targetList{eff.Records})
			}
		case kqdirectory.SendRecords:
			if len(eff.Records) > 0 {
				r.cfg.Link.Send(eff.Peer, MethodTargets, targetList{eff.Records})
			}
		case kqdirectory.BroadcastDigest:
			for _, p := range r.peers() {
				r.cfg.Link.Send(p, MethodDigest, digest{eff.Digest})
			}
		case kqdirectory.RequestRecords:
			r.cfg.Link.Send(eff.Peer, MethodSync, nil)
		}
	}
}

// Announce records an announcement. When it returns nil, a change is known to all
// linked entry hosts that replied within 300 ms. The error says that the
// announcement was rejected, because it is not newer than the known record or
// because the directory is full.
func (r *TargetRegistry) Announce(ctx context.Context, rec kqdirectory.Record) error {
	for _, eff := range r.reduce(kqdirectory.Announced{Record: rec}) {
		switch eff := eff.(type) {
		case kqdirectory.Refused:
			r.refused.Inc(1)
			return errors.Newf("epoch %d seq %d is known already", eff.Record.Epoch, eff.Record.Seq)
		case kqdirectory.BroadcastRecords:
			r.broadcast(ctx, eff.Records)
		default:
			r.perform([]kqdirectory.Effect{eff})
		}
	}
	return nil
}

// broadcast sends records to the linked peers and waits for their replies, so that
// the records survive a failure of this host.
func (r *TargetRegistry) broadcast(ctx context.Context, list []kqdirectory.Record) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.peers() {
		if !r.cfg.Link.Up(p) {
			continue
		}
		wg.Go(func() {
			// A peer that misses the records requests them after the next digest.
			r.cfg.Link.Call(ctx, p, MethodTargets, targetList{list}, nil)
		})
	}
	wg.Wait()
}

// Receive handles a one-way message from another entry host. The error says that
// the body cannot be decoded.
func (r *TargetRegistry) Receive(peer, kind string, body json.RawMessage) error {
	var ev kqdirectory.Event
	switch kind {
	case MethodTargets:
		var l targetList
		if err := json.Unmarshal(body, &l); err != nil {
			return errors.Wrapf(err, "directory: %s from %s", kind, peer)
		}
		ev = kqdirectory.RecordsReceived{Records: l.Records}
	case MethodDigest:
		var d digest
		if err := json.Unmarshal(body, &d); err != nil {
			return errors.Wrapf(err, "directory: %s from %s", kind, peer)
		}
		ev = kqdirectory.DigestReceived{Peer: peer, Digest: d.Digest}
	case MethodSync:
		ev = kqdirectory.RecordsRequested{Peer: peer}
	case MethodLeaving:
		r.setLeaving(peer, true)
		return nil
	}
	r.perform(r.reduce(ev))
	return nil
}

// Answer handles a MethodTargets call, whose sender waits until the records are
// stored.
func (r *TargetRegistry) Answer(peer string, body json.RawMessage) (any, error) {
	return nil, r.Receive(peer, MethodTargets, body)
}

// Linked records that the link to a peer came up or broke. A peer that links again
// is no longer leaving.
func (r *TargetRegistry) Linked(peer string, up bool) {
	if up {
		r.setLeaving(peer, false)
	}
	r.perform(r.reduce(kqdirectory.LinkChanged{Peer: peer, Up: up}))
}

// Listed sends the records that this host holds to the linked entry hosts that the view adds
// to the one before, nil for none. Their links may have come up earlier, and changes are
// broadcast to listed hosts only. It does not wait: the caller may hold a lock that OnUpdate
// needs.
func (r *TargetRegistry) Listed(before, now *kqfeed.View) {
	r.wg.Go(func() {
		for _, h := range now.Hosts.Entry {
			isNew := before == nil || !slices.ContainsFunc(before.Hosts.Entry, func(o kqcontract.EntryHost) bool { return o.Name == h.Name })
			if isNew && h.Name != r.cfg.Host && r.cfg.Link.Up(h.Name) {
				r.perform(r.reduce(kqdirectory.LinkChanged{Peer: h.Name, Up: true}))
			}
		}
	})
}

func (r *TargetRegistry) setLeaving(peer string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[peer] = true
		return
	}
	delete(r.leaving, peer)
}

// Leave tells all entry hosts that this one is shutting down.
func (r *TargetRegistry) Leave() {
	r.mu.Lock()
	r.selfLeaving = true
	r.mu.Unlock()
	for _, p := range r.peers() {
		r.cfg.Link.Send(p, MethodLeaving, nil)
	}
}

// All returns every known record, including gone and expired ones.
func (r *TargetRegistry) All() []kqdirectory.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.All()
}
