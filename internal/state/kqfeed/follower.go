package kqfeed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultSubscribeTimeout = 3 * time.Second
	checkInterval           = 250 * time.Millisecond
	searchInterval          = 50 * time.Millisecond // while no control host is followed
	peerStatusTimeout       = time.Second
)

// FollowerConfig constructs a Follower.
type FollowerConfig struct {
	Host kqcontract.EntryHost
	// Controls returns the control hosts known now.
	Controls func() []ControlHost
	Link     kq.Link
	Clock    kq.Clock
	Log      *kqlog.Log
	Events   *kqevent.Recorder
	// InForce is called, in order, when a newer view acts on this host.
	OnView func(*View)
	// Learned is called with the control hosts as a hub tells them; nil: ignored.
	OnControls func([]ControlHost)
	// Stale is the age of the last confirmation at which another control host
	// is asked, 0: only a broken link counts.
	StaleAfter time.Duration
	// Subscribe bounds one try to subscribe, subscribeLimit if 0.
	SubscribeTimeout time.Duration
}

// Follower keeps the view in force on one entry host.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	stop   context.CancelFunc
	wait   sync.WaitGroup
	view   atomic.Pointer[View]
	wakeup chan struct{}

	listeners atomic.Pointer[[]EntryListener]

	mu               sync.Mutex
	hub              string // control host that this host subscribes to
	subscribed       bool   // the subscription to hub is answered
	pendingChanges   []kqcontract.Change
	earlyView        *View     // that came before the answer that tells of it
	awaitedRevision  *uint64   // revision of a view that is under way, nil: none
	awaitedSince     time.Time // when it was awaited first
	failedSubscribes int       // tries to subscribe in vain since the last answer
	lease            lease
	newHost          bool // this host was in no list before
	leaseExpired     bool // the lease has run out
	lastHeard        time.Time
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	return &Follower{cfg: cfg, ctx: ctx, stop: stop, wakeup: make(chan struct{}, 1)}
}

// Run subscribes and keeps the lease until Close.
func (f *Follower) Run() {
	f.wait.Add(1)
	go f.runLoop()
}

// Close stops the follower.
func (f *Follower) Close() {
	f.stop()
	f.wait.Wait()
}

// View returns the view to act on, nil if this host must not serve now.
func (f *Follower) View() *View {
	f.mu.Lock()
	serves := f.lease.valid(f.cfg.Clock.Now())
	f.mu.Unlock()
	if !serves {
		return nil
	}
	return f.view.Load()
}

// Doors returns the entry hosts that take callers, as last told: it must not be
// changed.
func (f *Follower) Listeners() []EntryListener {
	if p := f.listeners.Load(); p != nil {
		return *p
	}
	return nil
}

// moved takes which doors opened and closed.
func (f *Follower) updateListeners(peer string, m listenerChanges) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub {
		return
	}
	list := append(difference(f.Listeners(), m.Closed), difference(m.Opened, f.Listeners())...)
	f.listeners.Store(&list)
}

// New reports whether this host was in no host list before it started.
func (f *Follower) IsNewHost() bool {
	return f.newHost // only read inside InForce, under the lock
}

// Known returns the newest view also when it must not be acted on.
func (f *Follower) LatestView() *View {
	return f.view.Load()
}

// Hub returns the control host that this host subscribes to, empty if none.
func (f *Follower) Hub() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.subscribed {
		return ""
	}
	return f.hub
}

// Linked looks for a control host at once if none is followed: a link has come up.
func (f *Follower) LinkUp() {
	if f.Hub() == "" {
		f.wake()
	}
}

func (f *Follower) revision() uint64 {
	if v := f.view.Load(); v != nil {
		return v.Revision
	}
	return 0
}

func (f *Follower) runLoop() {
	defer f.wait.Done()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		f.ensureSubscribed()
		f.checkLease()
		tick.Reset(f.nextCheckDelay())
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		case <-f.wakeup:
		}
	}
}

// pause is the time until the next look at the control host.
func (f *Follower) nextCheckDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.subscribed && f.cfg.StaleAfter > 0 {
		return searchInterval
	}
	return checkInterval
}

// keepHub subscribes to the first control host that answers, in an order that
// differs from host to host so that the load spreads.
func (f *Follower) ensureSubscribed() {
	f.mu.Lock()
	hub, joined := f.hub, f.subscribed
	stale := f.cfg.StaleAfter > 0 && f.cfg.Clock.Now().Sub(f.lastHeard) > f.cfg.StaleAfter
	if f.awaitedRevision != nil && f.cfg.Clock.Now().Sub(f.awaitedSince) > f.subscribeTimeout() {
		f.cfg.Log.Warnf("view %d of control host %s did not come", *f.awaitedRevision, hub)
		f.failedSubscribes++
		f.subscribed, joined = false, false
	}
	f.mu.Unlock()
	if joined && !stale && f.cfg.Link.Up(hub) {
		return
	}
	if joined {
		f.cfg.Log.Warnf("control host %s lost: linked %v, stale %v", hub, f.cfg.Link.Up(hub), stale)
	}
	list := f.controlsByPreference()
	if i := slices.Index(list, hub); i >= 0 && stale {
		list = append(list[i+1:], list[:i+1]...) // the one that is silent comes last
	}
	for _, c := range list {
		if f.cfg.Link.Up(c) && f.subscribe(c) {
			return
		}
	}
}

// order puts this very host first, whose own replica costs no message, then
// those of the own failure domain; the rest differs from host to host.
func (f *Follower) controlsByPreference() []string {
	rank := func(n ControlHost) uint64 {
		switch {
		case n.Host == f.cfg.Host.Name:
			return 0
		case n.Domain == f.cfg.Host.Domain:
			return 1
		}
		return 2 + xxhash.Sum64String(f.cfg.Host.Name+"|"+n.Host)>>1
	}
	known := slices.Clone(f.cfg.Controls())
	slices.SortFunc(known, func(a, b ControlHost) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Host, b.Host))
	})
	list := make([]string, len(known))
	for i, n := range known {
		list[i] = n.Host
	}
	return list
}

// advance takes the next changes; a gap makes this host subscribe again.
func (f *Follower) applyChanges(list []kqcontract.Change) {
	v := f.view.Load()
	if v == nil {
		f.resubscribe()
		return
	}
	next, err := v.with(list)
	if err != nil {
		f.cfg.Log.Errorf("view %d: %v", v.Revision, err)
		f.view.Store(nil) // only a whole view helps
		f.resubscribe()
		return
	}
	if next.Revision > v.Revision {
		f.cfg.Log.Infof("revisions %d to %d of control host %s", v.Revision+1, next.Revision, f.hub)
		f.applyView(&next)
	}
	if n := len(list); n > 0 && list[n-1].Revision > next.Revision {
		f.resubscribe()
	}
}

// rejoin makes this host subscribe again.
func (f *Follower) resubscribe() {
	f.subscribed = false
	f.wake()
}

func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// enforce makes the view act on this host and tells the control host.
func (f *Follower) applyView(v *View) {
	f.view.Store(v)
	f.cfg.OnView(v)
	f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: "inforce", ContractRevision: v.Revision, Peer: f.hub})
	f.cfg.Link.Send(f.hub, MethodApplied, appliedRevisions{Hosts: map[string]uint64{f.cfg.Host.Name: v.Revision}})
}

// changed takes changes that the control host pushed.
func (f *Follower) receiveChanges(peer string, list []kqcontract.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub {
		return
	}
	if !f.subscribed || f.awaitedRevision != nil {
		f.pendingChanges = append(f.pendingChanges, list...)
		return
	}
	f.applyChanges(list)
}

// Fresh takes a confirmation that the control host pushed.
func (f *Follower) ReceiveConfirmation(peer string, m confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub || !f.subscribed {
		return
	}
	if f.awaitedRevision != nil {
		f.lastHeard = f.cfg.Clock.Now()
		return
	}
	if m.Revision > f.revision() {
		f.resubscribe()
		return
	}
	f.lastHeard = f.cfg.Clock.Now()
	f.lease.confirm(f.lastHeard)
}
