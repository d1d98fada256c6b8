package kqcontrol

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqjournal"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// Methods of requests and messages between control hosts.
const (
	MethodReplica = "replica" // one message of the replicas
	MethodSubmit  = "submit"  // a command for the leader
)

const retryPause = 50 * time.Millisecond

// Config constructs a Control.
type Config struct {
	Self    kqreplica.MemberSpec   // this host, as it asks to join
	Hosts   []kqreplica.MemberSpec // founding control hosts of the settings
	Disk    kq.Disk
	Link    kq.Link
	Clock   kq.Clock
	Log     *kqlog.Log
	Events  *kqevent.Recorder
	Metrics metrics.Registry
	Rand    *rand.Rand

	Tolerance      int  // data folders that may be lost at once
	OpenMembership bool // control hosts are admitted as they ask
	JoinOnly       bool // an empty data folder was lost: no new cluster

	// Changed is called in order with the changes that came in force together on
	// this host.
	Changed func([]kqcontract.Change)
	// Restored is called when the whole state was replaced.
	Restored func()
	// Members is called when the member list changed.
	MembersChanged func([]kqreplica.Member)
	// Fatal is called when the host must stop.
	Fatal func(error)
}

// Control is the running replica of one control host.
type Control struct {
	cfg       Config
	journal   *kqjournal.Journal
	replica   *kqreplica.Replica
	machine   *machine
	inbox     chan task
	done      chan struct{}
	stop      context.CancelFunc
	ctx       context.Context
	syncTimer metrics.Timer

	// The fields below belong to the loop.
	nextID           uint64
	pendingProposals map[string]chan proposalResult
	newProposals     []kqreplica.Proposal // since the last sync began
	pendingEffects   []kqreplica.Effect   // of the events since then
	failed           bool                 // an effect failed: no later one may be seen
	pendingChanges   []kqcontract.Change  // in force, not yet told
	pendingReads     map[string]chan kqreplica.ReadResult
	indexWaiters     []indexWaiter

	mu     sync.Mutex
	leader string
}

// answer ends a proposal made on this host.
type proposalResult struct {
	result kqcontract.Result
	err    error
}

// waiter waits until index is applied on this host.
type indexWaiter struct {
	index uint64
	ready chan struct{}
}

// errRetry says that the command may be sent again: it is idempotent.
var errRetry = errors.New("no leader answered")

// Start reads the data folder and runs the replica.
func Start(cfg Config) (*Control, error) {
	journal, loaded, err := kqjournal.Open(cfg.Disk)
	if err != nil {
		return nil, err
	}
	if loaded.TruncatedBytes > 0 {
		cfg.Log.Warnf("cut a torn tail of %d bytes", loaded.TruncatedBytes)
	}
	m := &machine{state: kqcontract.NewState()}
	replica, effects, err := kqreplica.New(kqreplica.Config{
		Host: cfg.Link.Host(), Hosts: cfg.Hosts, Loaded: loaded, Machine: m, Rand: cfg.Rand,
		Token: randomToken(cfg.Rand), Cluster: randomToken(cfg.Rand), Self: cfg.Self,
		Tolerance: cfg.Tolerance, OpenMembership: cfg.OpenMembership, JoinOnly: cfg.JoinOnly,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Control{
		cfg: cfg, journal: journal, replica: replica, machine: m, ctx: ctx, stop: stop,
		inbox: make(chan task, 1024), done: make(chan struct{}),
		pendingProposals: map[string]chan proposalResult{}, pendingReads: map[string]chan kqreplica.ReadResult{},
		syncTimer: metrics.GetOrRegisterTimer("control.sync", cfg.Metrics),
	}
	if err := c.perform(effects); err != nil {
		return nil, err
	}
	go c.loop()
	return c, nil
}

// word returns a random word of 8 hex digits.
func randomToken(rng *rand.Rand) string {
	const digits = "0123456789abcdef"
	p := make([]byte, 8)
	for i := range p {
		p[i] = digits[rng.IntN(len(digits))]
	}
	return string(p)
}

// Close stops the replica and waits for its last effect.
func (c *Control) Close() {
	c.stop()
	<-c.done
}

func (c *Control) loop() {
	defer close(c.done)
	defer c.journal.Close()
	tick := time.NewTicker(kqreplica.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case it := <-c.inbox:
			c.runTask(it)
			c.drainInbox()
		case <-tick.C:
			c.reduce(kqreplica.Tick{})
			c.flush()
		}
	}
}

// item is one thing for the loop to do: an event for the replica, or a function.
type task struct {
	event kqreplica.Event
	run   func()
}

func (c *Control) runTask(it task) {
	if it.event != nil {
		c.reduce(it.event)
		return
	}
	it.run()
}

// drain handles what came while the last event was: all commands among it are
// proposed together, so that a sync serves many of them.
func (c *Control) drainInbox() {
	for range len(c.inbox) {
		c.runTask(<-c.inbox)
	}
	if len(c.newProposals) > 0 {
		list := c.newProposals
		c.newProposals = nil
		c.reduce(kqreplica.Propose{Proposals: list})
	}
	c.flush()
}

// post runs f in the loop; false says that the loop has ended.
func (c *Control) post(f func()) bool {
	return c.enqueue(task{run: f})
}

func (c *Control) enqueue(it task) bool {
	select {
	case c.inbox <- it:
		return true
	case <-c.done:
		return false
	}
}

// reduce gives the replica one event, in the loop.
func (c *Control) reduce(ev kqreplica.Event) {
	c.pendingEffects = append(c.pendingEffects, c.replica.Reduce(c.cfg.Clock.Now(), ev)...)
}

// flush carries out the effects of the events so far.
func (c *Control) flush() {
	list := kqreplica.Merge(c.pendingEffects)
	c.pendingEffects = nil
	if c.failed {
		return
	}
	if err := c.perform(list); err != nil {
		c.failed = true
		c.cfg.Log.Errorf("stopped: %v", err)
		c.stop()
		c.cfg.Fatal(err)
	}
}

// Receive feeds one message of another control host.
func (c *Control) Receive(from string, m kqreplica.Message) {
	c.enqueue(task{event: kqreplica.Received{From: from, Message: m}})
}

// Linked tells the replica of a link that came up or broke.
func (c *Control) LinkChanged(peer string, up bool) {
	if up {
		c.enqueue(task{event: kqreplica.LinkUp{Peer: peer}})
		return
	}
	c.enqueue(task{event: kqreplica.LinkDown{Peer: peer}})
}

// View calls f with the state in the loop: f must neither keep nor change it.
func (c *Control) View(f func(*kqcontract.State)) error {
	ran := make(chan struct{})
	view := func() {
		c.flush() // what f sees has been told to all
		f(c.machine.state)
		close(ran)
	}
	if !c.post(view) {
		return errors.New("control: stopped")
	}
	select {
	case <-ran:
		return nil
	case <-c.done:
		return errors.New("control: stopped")
	}
}

// Status returns what operators see of the replica.
func (c *Control) Status() (kqreplica.Status, error) {
	var s kqreplica.Status
	err := c.View(func(*kqcontract.State) { s = c.replica.Status() })
	return s, err
}

// Leader returns the leader that this host follows, empty if none.
func (c *Control) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Submit has the command accepted or refused by the leader. It repeats the
// command until ctx ends, which is safe because every command is idempotent;
// an error means that the outcome is unknown.
func (c *Control) Submit(ctx context.Context, cmd kqcontract.Command) (kqcontract.Result, error) {
	for {
		res, err := c.submitOnce(ctx, cmd)
		if err == nil {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return kqcontract.Result{}, errors.Wrapf(err, "control: submit to %q", c.Leader())
		case <-c.cfg.after(retryPause):
		}
	}
}

func (cfg *Config) after(d time.Duration) <-chan struct{} {
	ch := make(chan struct{})
	cfg.Clock.AfterFunc(d, func() { close(ch) })
	return ch
}

func (c *Control) submitOnce(ctx context.Context, cmd kqcontract.Command) (kqcontract.Result, error) {
	leader := c.Leader()
	switch leader {
	case "":
		return kqcontract.Result{}, errRetry
	case c.cfg.Link.Host():
		return c.Propose(ctx, cmd)
	default:
		var res kqcontract.Result
		err := c.cfg.Link.Call(ctx, leader, MethodSubmit, cmd, &res)
		return res, err
	}
}

// Propose appends the command if this host leads.
func (c *Control) Propose(ctx context.Context, cmd kqcontract.Command) (kqcontract.Result, error) {
	cmd.Time = c.cfg.Clock.Now().UTC()
	data, err := encodeCommand(cmd)
	if err != nil {
		return kqcontract.Result{}, err
	}
	ready := make(chan proposalResult, 1)
	c.post(func() {
		id := c.newID()
		c.pendingProposals[id] = ready
		c.newProposals = append(c.newProposals, kqreplica.Proposal{ID: id, Data: data})
	})
	select {
	case a := <-ready:
		return a.result, a.err
	case <-ctx.Done():
		return kqcontract.Result{}, ctx.Err()
	case <-c.done:
		return kqcontract.Result{}, errRetry
	}
}

// Confirm returns once this host's state holds every change that was accepted
// before the call; a quorum confirms it.
func (c *Control) Confirm(ctx context.Context) error {
	return c.confirm(ctx, false)
}

// ConfirmLazily is Confirm for those who can wait for the next heartbeat.
func (c *Control) ConfirmLazily(ctx context.Context) error {
	return c.confirm(ctx, true)
}

func (c *Control) confirm(ctx context.Context, lazy bool) error {
	for {
		err := c.confirmOnce(ctx, lazy)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "control: confirm")
		case <-c.cfg.after(retryPause):
		}
	}
}

func (c *Control) confirmOnce(ctx context.Context, lazy bool) error {
	ready := make(chan kqreplica.ReadResult, 1)
	c.post(func() {
		id := c.newID()
		c.pendingReads[id] = ready
		c.reduce(kqreplica.Read{ID: id, Lazy: lazy})
	})
	select {
	case res := <-ready:
		if !res.OK {
			return errors.New("no quorum")
		}
		return c.waitApplied(ctx, res.Index)
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errors.New("stopped")
	}
}

func (c *Control) waitApplied(ctx context.Context, index uint64) error {
	ready := make(chan struct{})
	c.post(func() {
		c.indexWaiters = append(c.indexWaiters, indexWaiter{index, ready})
		c.notifyWaiters()
	})
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errors.New("stopped")
	}
}
