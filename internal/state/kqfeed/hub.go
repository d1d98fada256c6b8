package kqfeed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

const (
	freshEvery   = 4 * time.Second
	confirmLimit = 1500 * time.Millisecond
	keptChanges  = 1024                  // changes that a subscriber may lag without a whole view
	wholeLag     = 64                    // changes that an encoded view may lag: they travel beside it
	ackDelay     = 20 * time.Millisecond // acknowledgements are passed on together
	pushEvery    = 25 * time.Millisecond // between two messages of changes: many that come at once share some
)

// Source is the replica that a Hub serves from.
type Source interface {
	// Confirm returns once the state holds all changes accepted before.
	Confirm(ctx context.Context) error
	// ConfirmLazily does so with the next message that is sent anyway.
	ConfirmLazily(ctx context.Context) error
	// View calls f with the state, between two changes.
	View(f func(*kqcontract.State)) error
	// Submit has a command accepted or refused.
	Submit(ctx context.Context, c kqcontract.Command) (kqcontract.Result, error)
}

// HubConfig constructs a Hub.
type HubConfig struct {
	Link  kq.Link
	Clock kq.Clock
	Log   *kqlog.Log
	// Controls returns the other control hosts.
	Controls func() []string
	// Fresh is the time between two confirmations, freshEvery if 0.
	Fresh time.Duration
	// Unlisted keeps entry hosts out of the replicated host list: they are
	// known by their Presence alone.
	Unlisted bool
}

// Hub pushes changes from one control host to its subscribers.
type Hub struct {
	cfg    HubConfig
	source Source
	ctx    context.Context
	stop   context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	subs     map[string]bool
	controls []Neighbour
	doors    []Door              // of entry hosts that take callers
	changes  []kqcontract.Change // the newest, ascending without gaps
	acked    map[string]uint64   // revision in force on each entry host
	unsent   map[string]uint64   // acknowledgements not yet passed on
	notified chan struct{}       // closed and renewed at each acknowledgement
	unpushed []kqcontract.Change // not yet sent to the subscribers
	pushed   time.Time           // when changes were sent last
	waiting  bool                // they are sent pushEvery after that
	whole    whole               // the newest view that was encoded
}

// NewHub returns a Hub without a source; Run starts it.
func NewHub(cfg HubConfig) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		cfg: cfg, ctx: ctx, stop: stop, subs: map[string]bool{}, acked: map[string]uint64{},
		unsent: map[string]uint64{}, notified: make(chan struct{}),
	}
}

// Run serves from the source until Close.
func (h *Hub) Run(source Source) {
	h.source = source
	h.wait.Add(1)
	go h.refresh()
}

// Close stops the hub.
func (h *Hub) Close() {
	h.stop()
	h.wait.Wait()
}

// Push sends changes in force here to all subscribers: at once, or together with
// those that come soon after others.
func (h *Hub) Push(list []kqcontract.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, list...)
	if extra := len(h.changes) - keptChanges; extra > 0 {
		h.changes = append([]kqcontract.Change(nil), h.changes[extra:]...)
	}
	h.unpushed = append(h.unpushed, list...)
	if h.waiting {
		return
	}
	if wait := pushEvery - h.cfg.Clock.Now().Sub(h.pushed); wait > 0 {
		h.waiting = true
		h.cfg.Clock.AfterFunc(wait, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.waiting = false
			h.push()
		})
		return
	}
	h.push()
}

// push sends what is not yet sent, in one message each; the lock is held.
func (h *Hub) push() {
	list := h.unpushed
	h.unpushed, h.pushed = nil, h.cfg.Clock.Now()
	if len(list) > 0 {
		h.broadcast(MethodChanges, changes{list})
	}
}

// broadcast sends to all subscribers; the lock is held.
func (h *Hub) broadcast(kind string, body any) {
	if len(h.subs) == 0 {
		return
	}
	message, err := h.cfg.Link.Encode(kind, body)
	if err != nil {
		h.cfg.Log.Errorf("message %s: %v", kind, err) // as if lost: subscribers notice the gap
		return
	}
	h.cfg.Link.SendEncoded(slices.Collect(maps.Keys(h.subs)), message)
}

// Reset forgets the kept changes after the state was replaced; subscribers
// notice the gap and subscribe again.
func (h *Hub) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.unpushed = nil, nil
}

// Unlink forgets a subscriber whose link broke.
func (h *Hub) Unlink(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subs, peer)
}

// subscribe answers an entry host from a state that a quorum confirmed, and
// makes the host known to the system if it is new.
func (h *Hub) subscribe(ctx context.Context, peer string, s subscription) (start, error) {
	if s.Host.Name != peer {
		return start{}, errors.Newf("feed: %s subscribes as %q", peer, s.Host.Name)
	}
	if err := h.source.Confirm(ctx); err != nil {
		return start{}, err
	}
	added := false
	if !h.cfg.Unlisted {
		var err error
		if added, err = h.admit(ctx, s.Host); err != nil {
			return start{}, err
		}
	}
	var out start
	err := h.source.View(func(state *kqcontract.State) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.subs[peer] = true
		out = h.startFor(peer, s.Revision, state)
		out.New = added
		out.Controls, out.Entries = h.controls, h.doors
	})
	return out, err
}

// startFor returns what a subscriber at the revision lacks; a whole view travels as
// a message of its own, which hosts that come together share.
func (h *Hub) startFor(peer string, rev uint64, state *kqcontract.State) start {
	if list, ok := h.since(rev, state.Revision); ok && rev > 0 {
		return start{Changes: list}
	}
	list, ok := h.since(h.whole.revision, state.Revision)
	if !ok || h.whole.message == nil || len(list) > wholeLag {
		v := viewOf(state)
		message, err := h.cfg.Link.Encode(MethodWhole, v)
		if err != nil {
			h.cfg.Log.Errorf("view %d: %v", v.Revision, err)
			return start{View: &v}
		}
		h.whole, list = whole{v.Revision, message}, nil
	}
	h.cfg.Link.SendEncoded([]string{peer}, h.whole.message)
	at := h.whole.revision
	return start{Whole: &at, Changes: list}
}

// whole is a view as it travels.
type whole struct {
	revision uint64
	message  []byte
}

// since returns the changes between two revisions; false says that some of them are
// not kept.
func (h *Hub) since(from, to uint64) ([]kqcontract.Change, bool) {
	switch {
	case from == to:
		return nil, true
	case from > to || len(h.changes) == 0 || h.changes[0].Revision > from+1:
		return nil, false
	}
	return slices.Clone(h.changes[from+1-h.changes[0].Revision:]), true
}

// admit adds the host to the list in force unless it is there as it is; added
// says that its name was in no list before.
func (h *Hub) admit(ctx context.Context, host kqcontract.EntryHost) (added bool, err error) {
	same, named := false, false
	err = h.source.View(func(s *kqcontract.State) {
		for _, e := range s.Hosts.Entry {
			same = same || e == host
			named = named || e.Name == host.Name
		}
	})
	if err != nil || same {
		return false, err
	}
	_, err = h.source.Submit(ctx, kqcontract.Command{Op: kqcontract.OpJoin, Join: &host})
	return !named, err
}

// refresh confirms the state for the subscribers again and again.
func (h *Hub) refresh() {
	defer h.wait.Done()
	every := h.cfg.Fresh
	if every == 0 {
		every = freshEvery
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		n := len(h.subs)
		h.mu.Unlock()
		if n > 0 {
			h.confirm()
		}
	}
}

func (h *Hub) confirm() {
	ctx, cancel := context.WithTimeout(h.ctx, confirmLimit)
	defer cancel()
	if err := h.source.ConfirmLazily(ctx); err != nil {
		h.cfg.Log.Debugf("not confirmed: %v", err)
		return
	}
	h.source.View(func(s *kqcontract.State) { // stopping
		h.mu.Lock()
		defer h.mu.Unlock()
		h.push() // what is confirmed must have been sent
		h.broadcast(MethodFresh, fresh{Revision: s.Revision})
	})
}

// SetControls tells the subscribers of the control hosts when they change.
func (h *Hub) SetControls(list []Neighbour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controls = list
	h.broadcast(MethodControls, controls{list})
}

// SetDoors tells the subscribers which entry hosts take callers, as far as that
// changes.
func (h *Hub) SetDoors(list []Door) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := doors{Opened: lacking(list, h.doors), Closed: lacking(h.doors, list)}
	h.doors = list
	if len(m.Opened)+len(m.Closed) == 0 {
		return
	}
	h.broadcast(MethodEntries, m)
}

// Doors returns a copy of the entry hosts that take callers.
func (h *Hub) Doors() []Door {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.doors)
}

// lacking returns those of list that other lacks.
func lacking(list, other []Door) []Door {
	return slices.DeleteFunc(slices.Clone(list), func(d Door) bool { return slices.Contains(other, d) })
}

// Acknowledge takes what a peer says of revisions in force. What an entry
// host says of itself is passed on to the other control hosts.
func (h *Hub) Acknowledge(peer string, a inForce) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, rev := range a.Hosts {
		if rev <= h.acked[host] {
			continue
		}
		h.acked[host] = rev
		if host == peer {
			h.passOn(host, rev)
		}
	}
	close(h.notified)
	h.notified = make(chan struct{})
}

func (h *Hub) passOn(host string, rev uint64) {
	if len(h.unsent) == 0 {
		h.cfg.Clock.AfterFunc(ackDelay, h.flush)
	}
	h.unsent[host] = rev
}

func (h *Hub) flush() {
	h.mu.Lock()
	list := h.unsent
	h.unsent = map[string]uint64{}
	h.mu.Unlock()
	for _, peer := range h.cfg.Controls() {
		h.cfg.Link.Send(peer, MethodInForce, inForce{Hosts: list})
	}
}

// Acked returns the revision in force on each entry host, as far as known, and
// a channel that is closed when more is known.
func (h *Hub) Acked() (map[string]uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.acked), h.notified
}
