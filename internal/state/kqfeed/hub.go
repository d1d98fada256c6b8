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
	defaultConfirmInterval = 4 * time.Second
	confirmTimeout         = 1500 * time.Millisecond
	maxKeptChanges         = 1024                  // changes that a subscriber may lag without a whole view
	maxViewLag             = 64                    // changes that an encoded view may lag: they travel beside it
	ackBatchDelay          = 20 * time.Millisecond // acknowledgements are passed on together
	pushInterval           = 25 * time.Millisecond // between two messages of changes: many that come at once share some
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
	ConfirmInterval time.Duration
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

	mu            sync.Mutex
	subscribers   map[string]bool
	controls      []ControlHost
	listeners     []EntryListener     // of entry hosts that take callers
	changes       []kqcontract.Change // the newest, ascending without gaps
	acked         map[string]uint64   // revision in force on each entry host
	unsentAcks    map[string]uint64   // acknowledgements not yet passed on
	ackNotify     chan struct{}       // closed and renewed at each acknowledgement
	unpushed      []kqcontract.Change // not yet sent to the subscribers
	lastPush      time.Time           // when changes were sent last
	pushScheduled bool                // they are sent pushEvery after that
	encodedView   encodedView         // the newest view that was encoded
}

// NewHub returns a Hub without a source; Run starts it.
func NewHub(cfg HubConfig) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		cfg: cfg, ctx: ctx, stop: stop, subscribers: map[string]bool{}, acked: map[string]uint64{},
		unsentAcks: map[string]uint64{}, ackNotify: make(chan struct{}),
	}
}

// Run serves from the source until Close.
func (h *Hub) Run(source Source) {
	h.source = source
	h.wait.Add(1)
	go h.confirmLoop()
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
	if extra := len(h.changes) - maxKeptChanges; extra > 0 {
		h.changes = append([]kqcontract.Change(nil), h.changes[extra:]...)
	}
	h.unpushed = append(h.unpushed, list...)
	if h.pushScheduled {
		return
	}
	if wait := pushInterval - h.cfg.Clock.Now().Sub(h.lastPush); wait > 0 {
		h.pushScheduled = true
		h.cfg.Clock.AfterFunc(wait, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.pushScheduled = false
			h.pushPending()
		})
		return
	}
	h.pushPending()
}

// push sends what is not yet sent, in one message each; the lock is held.
func (h *Hub) pushPending() {
	list := h.unpushed
	h.unpushed, h.lastPush = nil, h.cfg.Clock.Now()
	if len(list) > 0 {
		h.broadcast(MethodChanges, changes{list})
	}
}

// broadcast sends to all subscribers; the lock is held.
func (h *Hub) broadcast(kind string, body any) {
	if len(h.subscribers) == 0 {
		return
	}
	message, err := h.cfg.Link.Encode(kind, body)
	if err != nil {
		h.cfg.Log.Errorf("message %s: %v", kind, err) // as if lost: subscribers notice the gap
		return
	}
	h.cfg.Link.SendEncoded(slices.Collect(maps.Keys(h.subscribers)), message)
}

// Reset forgets the kept changes after the state was replaced; subscribers
// notice the gap and subscribe again.
func (h *Hub) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.unpushed = nil, nil
}

// Unlink forgets a subscriber whose link broke.
func (h *Hub) RemoveSubscriber(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, peer)
}

// subscribe answers an entry host from a state that a quorum confirmed, and
// makes the host known to the system if it is new.
func (h *Hub) subscribe(ctx context.Context, peer string, s subscription) (subscribeReply, error) {
	if s.Host.Name != peer {
		return subscribeReply{}, errors.Newf("feed: %s subscribes as %q", peer, s.Host.Name)
	}
	if err := h.source.Confirm(ctx); err != nil {
		return subscribeReply{}, err
	}
	added := false
	if !h.cfg.Unlisted {
		var err error
		if added, err = h.addHost(ctx, s.Host); err != nil {
			return subscribeReply{}, err
		}
	}
	var out subscribeReply
	err := h.source.View(func(state *kqcontract.State) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.subscribers[peer] = true
		out = h.replyFor(peer, s.Revision, state)
		out.New = added
		out.Controls, out.Listeners = h.controls, h.listeners
	})
	return out, err
}

// startFor returns what a subscriber at the revision lacks; a whole view travels as
// a message of its own, which hosts that come together share.
func (h *Hub) replyFor(peer string, rev uint64, state *kqcontract.State) subscribeReply {
	if list, ok := h.changesBetween(rev, state.Revision); ok && rev > 0 {
		return subscribeReply{Changes: list}
	}
	list, ok := h.changesBetween(h.encodedView.revision, state.Revision)
	if !ok || h.encodedView.message == nil || len(list) > maxViewLag {
		v := newView(state)
		message, err := h.cfg.Link.Encode(MethodFullView, v)
		if err != nil {
			h.cfg.Log.Errorf("view %d: %v", v.Revision, err)
			return subscribeReply{View: &v}
		}
		h.encodedView, list = encodedView{v.Revision, message}, nil
	}
	h.cfg.Link.SendEncoded([]string{peer}, h.encodedView.message)
	at := h.encodedView.revision
	return subscribeReply{ViewRevision: &at, Changes: list}
}

// whole is a view as it travels.
type encodedView struct {
	revision uint64
	message  []byte
}

// since returns the changes between two revisions; false says that some of them are
// not kept.
func (h *Hub) changesBetween(from, to uint64) ([]kqcontract.Change, bool) {
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
func (h *Hub) addHost(ctx context.Context, host kqcontract.EntryHost) (added bool, err error) {
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
func (h *Hub) confirmLoop() {
	defer h.wait.Done()
	every := h.cfg.ConfirmInterval
	if every == 0 {
		every = defaultConfirmInterval
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
		n := len(h.subscribers)
		h.mu.Unlock()
		if n > 0 {
			h.confirm()
		}
	}
}

func (h *Hub) confirm() {
	ctx, cancel := context.WithTimeout(h.ctx, confirmTimeout)
	defer cancel()
	if err := h.source.ConfirmLazily(ctx); err != nil {
		h.cfg.Log.Debugf("not confirmed: %v", err)
		return
	}
	h.source.View(func(s *kqcontract.State) { // stopping
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pushPending() // what is confirmed must have been sent
		h.broadcast(MethodConfirmation, confirmation{Revision: s.Revision})
	})
}

// SetControls tells the subscribers of the control hosts when they change.
func (h *Hub) SetControls(list []ControlHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controls = list
	h.broadcast(MethodControls, controlHosts{list})
}

// SetDoors tells the subscribers which entry hosts take callers, as far as that
// changes.
func (h *Hub) SetListeners(list []EntryListener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := listenerChanges{Opened: difference(list, h.listeners), Closed: difference(h.listeners, list)}
	h.listeners = list
	if len(m.Opened)+len(m.Closed) == 0 {
		return
	}
	h.broadcast(MethodListeners, m)
}

// Doors returns a copy of the entry hosts that take callers.
func (h *Hub) Listeners() []EntryListener {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.listeners)
}

// lacking returns those of list that other lacks.
func difference(list, other []EntryListener) []EntryListener {
	return slices.DeleteFunc(slices.Clone(list), func(d EntryListener) bool { return slices.Contains(other, d) })
}

// Acknowledge takes what a peer says of revisions in force. What an entry
// host says of itself is passed on to the other control hosts.
func (h *Hub) Acknowledge(peer string, a appliedRevisions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, rev := range a.Hosts {
		if rev <= h.acked[host] {
			continue
		}
		h.acked[host] = rev
		if host == peer {
			h.queueAck(host, rev)
		}
	}
	close(h.ackNotify)
	h.ackNotify = make(chan struct{})
}

func (h *Hub) queueAck(host string, rev uint64) {
	if len(h.unsentAcks) == 0 {
		h.cfg.Clock.AfterFunc(ackBatchDelay, h.flushAcks)
	}
	h.unsentAcks[host] = rev
}

func (h *Hub) flushAcks() {
	h.mu.Lock()
	list := h.unsentAcks
	h.unsentAcks = map[string]uint64{}
	h.mu.Unlock()
	for _, peer := range h.cfg.Controls() {
		h.cfg.Link.Send(peer, MethodApplied, appliedRevisions{Hosts: list})
	}
}

// Acked returns the revision in force on each entry host, as far as known, and
// a channel that is closed when more is known.
func (h *Hub) Acked() (map[string]uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.acked), h.ackNotify
}
