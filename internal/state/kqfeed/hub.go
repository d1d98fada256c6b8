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
	maxKeptChanges         = 1024                  // a subscriber that lags by more gets a full view
	maxViewLag             = 64                    // an encoded view that lags by more is encoded anew; fewer changes are sent along with it
	ackBatchDelay          = 20 * time.Millisecond // batches acknowledgements to the other control hosts
	pushInterval           = 25 * time.Millisecond // least time between two messages with changes, so that frequent changes share messages
)

// Source is the replica whose state a Hub serves.
type Source interface {
	// Confirm returns once the state holds all changes that were accepted before the call.
	Confirm(ctx context.Context) error
	// ConfirmLazily does the same, but waits for the next message that is sent anyway.
	ConfirmLazily(ctx context.Context) error
	// View calls f with the state; no change is applied meanwhile.
	View(f func(*kqcontract.State)) error
	// Submit proposes a command and returns whether it was accepted.
	Submit(ctx context.Context, c kqcontract.Command) (kqcontract.Result, error)
}

// HubConfig constructs a Hub.
type HubConfig struct {
	Link  kq.Link
	Clock kq.Clock
	Log   *kqlog.Log
	// Controls returns the other control hosts.
	Controls func() []string
	// ConfirmInterval is the time between two confirmations, defaultConfirmInterval if 0.
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
	listeners     []EntryListener     // of entry hosts that accept calls
	changes       []kqcontract.Change // the most recent ones, by revision, without gaps
	acked         map[string]uint64   // revision that each entry host acts on
	unsentAcks    map[string]uint64   // acknowledgements not yet sent to the other control hosts
	ackNotify     chan struct{}       // closed and replaced at each acknowledgement
	unpushed      []kqcontract.Change // changes not yet sent to the subscribers
	lastPush      time.Time           // when changes were last sent
	pushScheduled bool                // a timer sends unpushed pushInterval after lastPush
	encodedView   encodedView         // the newest encoded view, shared by subscribers
}

// NewHub returns a Hub that has no source yet; Run sets it and starts the Hub.
func NewHub(cfg HubConfig) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		cfg: cfg, ctx: ctx, stop: stop, subscribers: map[string]bool{}, acked: map[string]uint64{},
		unsentAcks: map[string]uint64{}, ackNotify: make(chan struct{}),
	}
}

// Run serves the source's state until Close.
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

// Push sends applied changes to all subscribers: at once, or in one batch if the last
// message was sent less than pushInterval ago.
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

// pushPending sends all unsent changes in one message to each subscriber. The lock is held.
func (h *Hub) pushPending() {
	list := h.unpushed
	h.unpushed, h.lastPush = nil, h.cfg.Clock.Now()
	if len(list) > 0 {
		h.broadcast(MethodChanges, changes{list})
	}
}

// broadcast sends a message to all subscribers. The lock is held.
func (h *Hub) broadcast(kind string, body any) {
	if len(h.subscribers) == 0 {
		return
	}
	message, err := h.cfg.Link.Encode(kind, body)
	if err != nil {
		h.cfg.Log.Errorf("cannot encode message %s: %v", kind, err) // subscribers notice the gap, as if the message were lost
		return
	}
	h.cfg.Link.SendEncoded(slices.Collect(maps.Keys(h.subscribers)), message)
}

// Reset drops the kept changes after the state was replaced. Subscribers notice the
// gap and subscribe again.
func (h *Hub) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.unpushed = nil, nil
}

// RemoveSubscriber removes a subscriber whose link broke.
func (h *Hub) RemoveSubscriber(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, peer)
}

// subscribe answers a subscription from a state that a quorum confirmed, and adds the
// entry host to the replicated host list unless the hub is configured as Unlisted.
func (h *Hub) subscribe(ctx context.Context, peer string, s subscription) (subscribeReply, error) {
	if s.Host.Name != peer {
		return subscribeReply{}, errors.Newf("feed: %s subscribes as %q", peer, s.Host.Name)
	}
	if err := h.source.Confirm(ctx); err != nil {
		return subscribeReply{}, err
	}
	isNew := false
	if !h.cfg.Unlisted {
		var err error
		if isNew, err = h.addHost(ctx, s.Host); err != nil {
			return subscribeReply{}, err
		}
	}
	var out subscribeReply
	err := h.source.View(func(state *kqcontract.State) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.subscribers[peer] = true
		out = h.replyFor(peer, s.Revision, state)
		out.New = isNew
		out.Controls, out.Listeners = h.controls, h.listeners
	})
	return out, err
}

// replyFor returns the reply for a subscriber at the given revision: the missing
// changes, or the revision of a full view that is sent as a message of its own. Hosts
// that subscribe at about the same time share one encoded view. The lock is held.
func (h *Hub) replyFor(peer string, rev uint64, state *kqcontract.State) subscribeReply {
	if list, ok := h.changesBetween(rev, state.Revision); ok && rev > 0 {
		return subscribeReply{Changes: list}
	}
	list, ok := h.changesBetween(h.encodedView.revision, state.Revision)
	if !ok || h.encodedView.message == nil || len(list) > maxViewLag {
		v := newView(state)
		message, err := h.cfg.Link.Encode(MethodFullView, v)
		if err != nil {
			h.cfg.Log.Errorf("cannot encode view %d: %v", v.Revision, err)
			return subscribeReply{View: &v}
		}
		h.encodedView, list = encodedView{v.Revision, message}, nil
	}
	h.cfg.Link.SendEncoded([]string{peer}, h.encodedView.message)
	at := h.encodedView.revision
	return subscribeReply{ViewRevision: &at, Changes: list}
}

// encodedView is a view encoded as a message.
type encodedView struct {
	revision uint64
	message  []byte
}

// changesBetween returns the changes after revision from up to revision to, and false
// if some of them are no longer kept. The lock is held.
func (h *Hub) changesBetween(from, to uint64) ([]kqcontract.Change, bool) {
	switch {
	case from == to:
		return nil, true
	case from > to || len(h.changes) == 0 || h.changes[0].Revision > from+1:
		return nil, false
	}
	return slices.Clone(h.changes[from+1-h.changes[0].Revision:]), true
}

// addHost submits the host for the replicated host list unless an identical entry is
// there. isNew tells that its name was in no list before this start of the host, also if
// an earlier attempt of it added the entry and the reply was lost.
func (h *Hub) addHost(ctx context.Context, host kqcontract.EntryHost) (isNew bool, err error) {
	unchanged := false
	isNew = true
	err = h.source.View(func(s *kqcontract.State) {
		for _, e := range s.Hosts.Entry {
			if e.Name == host.Name {
				isNew = e.JoinedBy(host.Boot)
				e.Boot = host.Boot // the entry keeps its own
				unchanged = e == host
			}
		}
	})
	if err != nil || unchanged {
		return isNew, err
	}
	_, err = h.source.Submit(ctx, kqcontract.Command{Op: kqcontract.OpJoin, Join: &host})
	return isNew, err
}

// confirmLoop confirms the state once per interval while there are subscribers.
func (h *Hub) confirmLoop() {
	defer h.wait.Done()
	interval := h.cfg.ConfirmInterval
	if interval == 0 {
		interval = defaultConfirmInterval
	}
	tick := time.NewTicker(interval)
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
		h.cfg.Log.Debugf("no quorum confirmed the state: %v", err)
		return
	}
	h.source.View(func(s *kqcontract.State) { // an error means that the replica is stopping
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pushPending() // subscribers must have the changes that are confirmed
		h.broadcast(MethodConfirmation, confirmation{Revision: s.Revision})
	})
}

// SetControls sets the list of control hosts and sends it to the subscribers.
func (h *Hub) SetControls(list []ControlHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controls = list
	h.broadcast(MethodControls, controlHosts{list})
}

// SetListeners sets the listen addresses of the entry hosts that accept calls and
// sends the differences, if any, to the subscribers.
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

// Listeners returns a copy of the listen addresses of the entry hosts that accept calls.
func (h *Hub) Listeners() []EntryListener {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.listeners)
}

// difference returns the elements of list that are not in other.
func difference(list, other []EntryListener) []EntryListener {
	return slices.DeleteFunc(slices.Clone(list), func(d EntryListener) bool { return slices.Contains(other, d) })
}

// Acknowledge records which revisions hosts act on, as reported by a peer. What an
// entry host reports of itself is also sent to the other control hosts.
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

// Acked returns the last acknowledged revision of each entry host and a channel that
// is closed at the next acknowledgement.
func (h *Hub) Acked() (map[string]uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.acked), h.ackNotify
}
