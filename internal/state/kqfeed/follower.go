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
	subscribeLimit = 3 * time.Second
	followPause    = 250 * time.Millisecond
	searchPause    = 50 * time.Millisecond // while no control host is followed
	askLimit       = time.Second
)

// FollowerConfig constructs a Follower.
type FollowerConfig struct {
	Host kqcontract.Host
	// Controls returns the control hosts known now.
	Controls func() []Neighbour
	Link     kq.Link
	Clock    kq.Clock
	Log      *kqlog.Log
	Events   *kqevent.Recorder
	// InForce is called, in order, when a newer view acts on this host.
	InForce func(*View)
	// Learned is called with the control hosts as a hub tells them; nil: ignored.
	Learned func([]Neighbour)
	// Stale is the age of the last confirmation at which another control host
	// is asked, 0: only a broken link counts.
	Stale time.Duration
	// Subscribe bounds one try to subscribe, subscribeLimit if 0.
	Subscribe time.Duration
}

// Follower keeps the view in force on one entry host.
type Follower struct {
	cfg  FollowerConfig
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup
	view atomic.Pointer[View]
	poke chan struct{}

	doors atomic.Pointer[[]Door]

	mu      sync.Mutex
	hub     string // control host that this host subscribes to
	joined  bool   // the subscription to hub is answered
	held    []kqcontract.Change
	early   *View     // that came before the answer that tells of it
	awaits  *uint64   // revision of a view that is under way, nil: none
	since   time.Time // when it was awaited first
	failed  int       // tries to subscribe in vain since the last answer
	lease   lease
	fresh   bool // this host was in no list before
	refused bool // the lease has run out
	heard   time.Time
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	return &Follower{cfg: cfg, ctx: ctx, stop: stop, poke: make(chan struct{}, 1)}
}

// Run subscribes and keeps the lease until Close.
func (f *Follower) Run() {
	f.wait.Add(1)
	go f.follow()
}

// Close stops the follower.
func (f *Follower) Close() {
	f.stop()
	f.wait.Wait()
}

// View returns the view to act on, nil if this host must not serve now.
func (f *Follower) View() *View {
	f.mu.Lock()
	serves := f.lease.serves(f.cfg.Clock.Now())
	f.mu.Unlock()
	if !serves {
		return nil
	}
	return f.view.Load()
}

// Doors returns the entry hosts that take callers, as last told: it must not be
// changed.
func (f *Follower) Doors() []Door {
	if p := f.doors.Load(); p != nil {
		return *p
	}
	return nil
}

// moved takes which doors opened and closed.
func (f *Follower) moved(peer string, m doors) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub {
		return
	}
	list := append(lacking(f.Doors(), m.Closed), lacking(m.Opened, f.Doors())...)
	f.doors.Store(&list)
}

// New reports whether this host was in no host list before it started.
func (f *Follower) New() bool {
	return f.fresh // only read inside InForce, under the lock
}

// Known returns the newest view also when it must not be acted on.
func (f *Follower) Known() *View {
	return f.view.Load()
}

// Hub returns the control host that this host subscribes to, empty if none.
func (f *Follower) Hub() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.joined {
		return ""
	}
	return f.hub
}

// Linked looks for a control host at once if none is followed: a link has come up.
func (f *Follower) Linked() {
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

func (f *Follower) follow() {
	defer f.wait.Done()
	tick := time.NewTicker(followPause)
	defer tick.Stop()
	for {
		f.keepHub()
		f.keepLease()
		tick.Reset(f.pause())
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		case <-f.poke:
		}
	}
}

// pause is the time until the next look at the control host.
func (f *Follower) pause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.joined && f.cfg.Stale > 0 {
		return searchPause
	}
	return followPause
}

// keepHub subscribes to the first control host that answers, in an order that
// differs from host to host so that the load spreads.
func (f *Follower) keepHub() {
	f.mu.Lock()
	hub, joined := f.hub, f.joined
	stale := f.cfg.Stale > 0 && f.cfg.Clock.Now().Sub(f.heard) > f.cfg.Stale
	if f.awaits != nil && f.cfg.Clock.Now().Sub(f.since) > f.subscribeTime() {
		f.cfg.Log.Warnf("view %d of control host %s did not come", *f.awaits, hub)
		f.failed++
		f.joined, joined = false, false
	}
	f.mu.Unlock()
	if joined && !stale && f.cfg.Link.Up(hub) {
		return
	}
	if joined {
		f.cfg.Log.Warnf("control host %s lost: linked %v, stale %v", hub, f.cfg.Link.Up(hub), stale)
	}
	list := f.order()
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
func (f *Follower) order() []string {
	rank := func(n Neighbour) uint64 {
		switch {
		case n.Host == f.cfg.Host.Name:
			return 0
		case n.Domain == f.cfg.Host.Domain:
			return 1
		}
		return 2 + xxhash.Sum64String(f.cfg.Host.Name+"|"+n.Host)>>1
	}
	known := slices.Clone(f.cfg.Controls())
	slices.SortFunc(known, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Host, b.Host))
	})
	list := make([]string, len(known))
	for i, n := range known {
		list[i] = n.Host
	}
	return list
}

// advance takes the next changes; a gap makes this host subscribe again.
func (f *Follower) advance(list []kqcontract.Change) {
	v := f.view.Load()
	if v == nil {
		f.rejoin()
		return
	}
	next, err := v.with(list)
	if err != nil {
		f.cfg.Log.Errorf("view %d: %v", v.Revision, err)
		f.view.Store(nil) // only a whole view helps
		f.rejoin()
		return
	}
	if next.Revision > v.Revision {
		f.cfg.Log.Infof("revisions %d to %d of control host %s", v.Revision+1, next.Revision, f.hub)
		f.enforce(&next)
	}
	if n := len(list); n > 0 && list[n-1].Revision > next.Revision {
		f.rejoin()
	}
}

// rejoin makes this host subscribe again.
func (f *Follower) rejoin() {
	f.joined = false
	f.wake()
}

func (f *Follower) wake() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// enforce makes the view act on this host and tells the control host.
func (f *Follower) enforce(v *View) {
	f.view.Store(v)
	f.cfg.InForce(v)
	f.cfg.Events.Add(kqevent.Event{Component: "feed", Kind: "inforce", ContractRevision: v.Revision, Peer: f.hub})
	f.cfg.Link.Send(f.hub, MethodInForce, inForce{Hosts: map[string]uint64{f.cfg.Host.Name: v.Revision}})
}

// changed takes changes that the control host pushed.
func (f *Follower) changed(peer string, list []kqcontract.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub {
		return
	}
	if !f.joined || f.awaits != nil {
		f.held = append(f.held, list...)
		return
	}
	f.advance(list)
}

// Fresh takes a confirmation that the control host pushed.
func (f *Follower) Fresh(peer string, m fresh) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer != f.hub || !f.joined {
		return
	}
	if f.awaits != nil {
		f.heard = f.cfg.Clock.Now()
		return
	}
	if m.Revision > f.revision() {
		f.rejoin()
		return
	}
	f.heard = f.cfg.Clock.Now()
	f.lease.confirm(f.heard)
}
