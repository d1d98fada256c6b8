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
	"github.com/rcrowley/go-metrics"
)

const (
	defaultSubscribeTimeout = 3 * time.Second
	checkInterval           = 250 * time.Millisecond
	searchInterval          = 50 * time.Millisecond // while this host is subscribed to no control host
	peerStatusTimeout       = time.Second
)

// FollowerConfig holds the settings of a Follower.
type FollowerConfig struct {
	Host kqcontract.EntryHost
	// Controls returns the control hosts that are known at the time of the call.
	Controls func() []ControlHost
	Link     kq.Link
	Clock    kq.Clock
	Log      *kqlog.Log
	Events   *kqevent.Recorder
	Metrics  metrics.Registry // the library's default registry if nil
	// OnView is called in order of revisions, with the follower's lock held,
	// when a newer view takes effect on this host.
	OnView func(*View)
	// OnControls is called with the list of control hosts that a hub sends; nil
	// ignores the list.
	OnControls func([]ControlHost)
	// StaleAfter is the age of the last confirmation after which this host
	// subscribes to another control host; with 0 it does so only when the link breaks.
	StaleAfter time.Duration
	// SubscribeTimeout bounds one attempt to subscribe, defaultSubscribeTimeout if 0.
	SubscribeTimeout time.Duration
	// FirstTimeout bounds an attempt of a host that has no view yet, SubscribeTimeout if 0.
	FirstTimeout time.Duration
}

// Follower holds the current view on one entry host.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	stop   context.CancelFunc
	wait   sync.WaitGroup
	view   atomic.Pointer[View]
	wakeup chan struct{}
	delay  metrics.Timer // from the proposal of a change to its effect on this host, by the clocks of two hosts

	listeners atomic.Pointer[[]EntryListener]
	heardAt   atomic.Pointer[time.Time] // lastHeard, to be read without the lock

	mu               sync.Mutex
	hub              string // control host that this host subscribes to
	subscribed       bool   // hub has answered the subscription
	pendingChanges   []kqcontract.Change
	earlyView        *View     // received before the subscription reply that announces it
	awaitedRevision  *uint64   // revision of a view that was announced but has not arrived, nil: none
	awaitedSince     time.Time // when awaitedRevision was set
	failedSubscribes int       // failed attempts since a subscription last got its view
	lease            lease
	newHost          bool // this host's name was in no host list before
	leaseExpired     bool // whether the lease had expired when its state was last logged
	lastHeard        time.Time
	subscribedAt     time.Time // when the last subscription that was answered began
	currentAt        time.Time // when the view in force was known to be the newest one, zero: never
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	return &Follower{
		cfg: cfg, ctx: ctx, stop: stop, wakeup: make(chan struct{}, 1), delay: metrics.GetOrRegisterTimer("feed.delay", cfg.Metrics),
	}
}

// Run keeps the subscription and the lease up to date until Close.
func (f *Follower) Run() {
	f.wait.Add(1)
	go f.runLoop()
}

// Close stops the follower.
func (f *Follower) Close() {
	f.stop()
	f.wait.Wait()
}

// View returns the view to act on, nil if there is none or if the lease does not
// allow this host to serve.
func (f *Follower) View() *View {
	f.mu.Lock()
	valid := f.lease.valid(f.cfg.Clock.Now())
	f.mu.Unlock()
	if !valid {
		return nil
	}
	return f.view.Load()
}

// Listeners returns the listen addresses of the entry hosts that accept calls, as
// the control host last sent them. The caller must not modify the slice.
func (f *Follower) Listeners() []EntryListener {
	if p := f.listeners.Load(); p != nil {
		return *p
	}
	return nil
}

// HeardAt returns when a control host last confirmed this host's state, the zero time if
// none did. It does not wait for the follower's lock.
func (f *Follower) HeardAt() time.Time {
	if p := f.heardAt.Load(); p != nil {
		return *p
	}
	return time.Time{}
}

// setHeard records the time of a confirmation. The lock is held.
func (f *Follower) setHeard(at time.Time) {
	f.lastHeard = at
	f.heardAt.Store(&at)
}

// updateListeners applies the listeners that a control host reports as opened and closed.
func (f *Follower) updateListeners(peer string, change listenerChanges) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub {
		return
	}
	list := append(difference(f.Listeners(), change.Closed), difference(change.Opened, f.Listeners())...)
	f.listeners.Store(&list)
}

// IsNewHost reports whether this host was in no host list before it started. It
// may only be called from OnView.
func (f *Follower) IsNewHost() bool {
	return f.newHost // OnView runs with the lock held
}

// LatestView returns the newest view, even if the lease has expired; nil if there is none.
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

// LinkUp is called when a link has come up: without a subscription, the follower
// looks for a control host at once.
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

// nextCheckDelay returns the time until the subscription is checked again, at the latest
// when the last confirmation becomes stale.
func (f *Follower) nextCheckDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cfg.StaleAfter == 0:
		return checkInterval
	case !f.subscribed:
		return searchInterval
	}
	fresh := f.cfg.StaleAfter - f.cfg.Clock.Now().Sub(f.lastHeard)
	if fresh < 0 && f.receiving(f.hub) {
		return searchInterval
	}
	return min(max(fresh, 0)+time.Millisecond, checkInterval)
}

// ensureSubscribed subscribes to the first control host that answers, unless the
// current subscription is still good. The order of attempts differs from host to
// host so that the load spreads.
func (f *Follower) ensureSubscribed() {
	f.mu.Lock()
	hub, subscribed := f.hub, f.subscribed
	receiving := f.receiving(hub)
	stale := f.cfg.StaleAfter > 0 && f.cfg.Clock.Now().Sub(f.lastHeard) > f.cfg.StaleAfter && !receiving
	if f.awaitedRevision != nil && !receiving && f.cfg.Clock.Now().Sub(f.awaitedSince) > f.subscribeTimeout() {
		f.cfg.Log.Warnf("view %d announced by control host %s did not arrive in time; subscribing again", *f.awaitedRevision, hub)
		f.failedSubscribes++
		f.subscribed, subscribed = false, false
	}
	f.mu.Unlock()
	if subscribed && !stale && f.cfg.Link.Up(hub) {
		return
	}
	if subscribed {
		f.cfg.Log.Warnf("lost control host %s: link up %v, confirmation stale %v", hub, f.cfg.Link.Up(hub), stale)
	}
	list := f.controlsByPreference()
	if i := slices.Index(list, hub); i >= 0 && stale {
		list = append(list[i+1:], list[:i+1]...) // the silent control host is tried last
	}
	for _, c := range list {
		if f.cfg.Link.Up(c) && f.subscribe(c) {
			return
		}
	}
}

// maxTransfer bounds how long a message that is arriving keeps this host at its control
// host without a confirmation.
const maxTransfer = 2 * time.Second

// receiving reports whether a message of the control host is on its way here. Its link is
// slow then, not the control host, and another one would send the same again over the same
// link. The lock is held.
func (f *Follower) receiving(hub string) bool {
	return f.cfg.Link.Receiving(hub) && f.cfg.Clock.Now().Sub(f.lastHeard) < maxTransfer
}

// controlsByPreference returns the control hosts in the order in which to try them:
// this host first, because its own replica costs no message, then hosts of its own
// failure domain, then the rest in an order that differs from host to host.
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

// applyChanges applies the next changes to the view. A gap in the revisions makes
// this host subscribe again. The lock is held.
func (f *Follower) applyChanges(list []kqcontract.Change) {
	v := f.view.Load()
	if v == nil {
		f.resubscribe()
		return
	}
	next, err := v.with(list)
	if err != nil {
		f.cfg.Log.Errorf("cannot apply changes to view %d: %v", v.Revision, err)
		f.view.Store(nil) // forces the hub to send a full view
		f.resubscribe()
		return
	}
	if next.Revision > v.Revision {
		delay := f.recordDelay(list, v.Revision)
		f.cfg.Log.Infof("applying revisions %d to %d from control host %s, at most %v after they were proposed", v.Revision+1, next.Revision, f.hub, delay)
		f.applyView(&next)
	}
	if n := len(list); n > 0 && list[n-1].Revision > next.Revision {
		f.resubscribe()
	}
}

// recordDelay records how long ago each change after the revision was proposed, and
// returns the longest of these times.
func (f *Follower) recordDelay(list []kqcontract.Change, after uint64) time.Duration {
	var longest time.Duration
	now := f.cfg.Clock.Now()
	for _, c := range list {
		if c.Revision <= after || c.Proposed == 0 {
			continue
		}
		d := max(now.Sub(time.UnixMilli(c.Proposed)), 0)
		f.delay.Update(d)
		longest = max(longest, d)
	}
	return longest
}

// resubscribe marks the subscription as lost, so that the run loop subscribes again.
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

// applyView puts the view into effect on this host and reports its revision to the
// control host. The lock is held.
func (f *Follower) applyView(v *View) {
	f.recordEvacuations(f.view.Swap(v), v)
	f.cfg.OnView(v)
	f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: "inforce", ContractRevision: v.Revision, Peer: f.hub})
	f.cfg.Link.Send(f.hub, MethodApplied, appliedRevisions{Hosts: map[string]uint64{f.cfg.Host.Name: v.Revision}})
}

// receiveChanges applies changes that the control host pushed, or holds them back
// while the reply or the full view that they build on is missing.
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

// ReceiveConfirmation renews the lease from a confirmation that the control host
// pushed. A confirmed revision that is missing here makes this host subscribe again.
func (f *Follower) ReceiveConfirmation(peer string, m confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub || !f.subscribed {
		return
	}
	if f.awaitedRevision != nil {
		f.setHeard(f.cfg.Clock.Now())
		return
	}
	if m.Revision > f.revision() {
		f.resubscribe()
		return
	}
	now := f.cfg.Clock.Now()
	f.recordCurrent(now, now.Sub(f.lastHeard))
	f.setHeard(now)
	f.lease.confirm(now)
}
