package kqregistry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqfeed"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// Methods between entry hosts.
const (
	MethodTargets = "targets" // request: records that changed
	MethodDigest  = "digest"  // digest of the records that the sender holds
	MethodSync    = "sync"    // asks for all records that the receiver holds
	MethodLeaving = "leaving" // the sender is being stopped as planned
)

const (
	tickInterval     = 500 * time.Millisecond
	broadcastTimeout = 300 * time.Millisecond // until a target's answer no longer waits for other hosts
)

// targetList is the wire form of records.
type targetList struct {
	Records []kqdirectory.Record `json:"records"`
}

// digest is the wire form of a digest.
type digest struct {
	Digest string `json:"digest"`
}

// Config constructs a Roster.
type Config struct {
	Host    string
	Link    kq.Link
	Clock   kq.Clock
	Events  *kqevent.Recorder
	Metrics metrics.Registry
	// View returns the view to act on, nil if this host must not serve.
	View func() *kqfeed.View
	// Known returns the newest view also when it must not be acted on.
	NewestView func() *kqfeed.View
	// Wide makes resolve answers name all entry hosts, for experiments.
	AllEntryHosts bool
	// Updated is called, in order, with new facts of a target.
	OnUpdate func(kqdirectory.Record)
	// Reported is called with a load that a target announced.
	OnLoad func(kqdirectory.Record)
}

// Roster runs the directory of targets on one entry host.
type TargetRegistry struct {
	cfg     Config
	done    chan struct{}
	wg      sync.WaitGroup
	refused metrics.Counter

	mu          sync.Mutex
	directory   *kqdirectory.Directory
	leaving     map[string]bool
	selfLeaving bool // this host is leaving
}

// NewRoster returns a running Roster.
func NewTargetRegistry(cfg Config) *TargetRegistry {
	r := &TargetRegistry{
		cfg: cfg, done: make(chan struct{}), directory: kqdirectory.New(cfg.Host), leaving: map[string]bool{},
		refused: metrics.GetOrRegisterCounter("announcements.refused", cfg.Metrics),
	}
	r.wg.Add(1)
	go r.tick()
	return r
}

// Close stops the roster.
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

// feed gives the reducer one event and carries out its local effects; the
// records to spread are returned, so that the caller may wait for the peers.
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
	r.cfg.Events.Add(kqevent.Event{Part: "directory", Kind: kind, Service: rec.Service, Target: rec.ID, Peer: rec.Holder, Text: rec.Addr})
}

// peers returns the other entry hosts in force.
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

// perform sends what the reducer asked for, without waiting for answers.
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

// Announce takes an announcement; a change is known to the other entry hosts
// when it returns, as far as they answer in time.
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

// spread waits for the peers, so that the news outlives this host.
func (r *TargetRegistry) broadcast(ctx context.Context, list []kqdirectory.Record) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, p := range r.peers() {
		if !r.cfg.Link.Up(p) {
			continue
		}
		wait.Go(func() {
			r.cfg.Link.Call(ctx, p, MethodTargets, targetList{list}, nil) // the digest mends it
		})
	}
	wait.Wait()
}

// Receive handles a one-way message of another entry host.
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

// Answer handles records that a peer wants to know taken.
func (r *TargetRegistry) Answer(peer string, body json.RawMessage) (any, error) {
	return nil, r.Receive(peer, MethodTargets, body)
}

// Linked notes that the link to a peer came up or broke.
func (r *TargetRegistry) Linked(peer string, up bool) {
	if up {
		r.setLeaving(peer, false)
	}
	r.perform(r.reduce(kqdirectory.LinkChanged{Peer: peer, Up: up}))
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

// Leave tells all entry hosts that this one is being stopped.
func (r *TargetRegistry) Leave() {
	r.mu.Lock()
	r.selfLeaving = true
	r.mu.Unlock()
	for _, p := range r.peers() {
		r.cfg.Link.Send(p, MethodLeaving, nil)
	}
}

// All returns every known record.
func (r *TargetRegistry) All() []kqdirectory.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.All()
}
