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

// Kinds of messages and requests between control hosts.
const (
	MethodReplica = "replica" // a message between replicas
	MethodSubmit  = "submit"  // a command for the leader
)

const retryPause = 50 * time.Millisecond

// Config configures a Control.
type Config struct {
	Self    kqreplica.MemberSpec   // this host, as sent in a request to join
	Hosts   []kqreplica.MemberSpec // control hosts in the settings, which found the cluster
	Disk    kq.Disk
	Link    kq.Link
	Clock   kq.Clock
	Log     *kqlog.Log
	Events  *kqevent.Recorder
	Metrics metrics.Registry
	Rand    *rand.Rand

	Tolerance      int  // number of data folders that may be lost at the same time
	OpenMembership bool // every control host that asks to join is admitted
	JoinOnly       bool // a host without a cluster never founds one, because its data folder was lost

	Domains []string // failure domains in the settings, which can be evacuated even if they have no targets

	// Changed is called with the changes that came into force on this host since the
	// last call, in order.
	Changed func([]kqcontract.Change)
	// Restored is called after the whole state was replaced by a snapshot.
	Restored func()
	// MembersChanged is called when the role, term, leader or member list changed.
	MembersChanged func([]kqreplica.Member)
	// Fatal is called with the error after which the host must stop.
	Fatal func(error)
}

// Control runs the replica of one control host.
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

	// Only the loop goroutine uses the fields below.
	nextID           uint64
	pendingProposals map[string]chan proposalResult
	newProposals     []kqreplica.Proposal // not yet passed to the replica
	pendingEffects   []kqreplica.Effect   // not yet performed
	failed           bool                 // an effect failed, so no later one may be performed
	fullSince        time.Time            // when the disk refused the first pending effect, zero: it did not
	fullTriedAt      time.Time            // when that effect was tried last
	pendingChanges   []kqcontract.Change  // in force, not yet reported
	pendingReads     map[string]chan kqreplica.ReadResult
	indexWaiters     []indexWaiter

	mu     sync.Mutex
	leader string
}

// proposalResult is the outcome of a proposal made on this host.
type proposalResult struct {
	result kqcontract.Result
	err    error
}

// indexWaiter waits until index is applied on this host.
type indexWaiter struct {
	index uint64
	ready chan struct{}
}

// errRetry is returned if no leader confirmed the outcome; the command may be sent again, as
// every command is idempotent.
var errRetry = errors.New("no leader answered")

// Start reads the data folder and starts the replica. It returns an error if the
// data is corrupt or can't be read or written.
func Start(cfg Config) (*Control, error) {
	journal, loaded, err := kqjournal.Open(cfg.Disk)
	if err != nil {
		return nil, err
	}
	if loaded.TruncatedBytes > 0 {
		cfg.Log.Warnf("truncated an incomplete record of %d bytes at the end of the log", loaded.TruncatedBytes)
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
	if err := c.performOrWait(effects); err != nil {
		return nil, err
	}
	go c.loop()
	return c, nil
}

// randomToken returns 8 random hex digits.
func randomToken(rng *rand.Rand) string {
	const digits = "0123456789abcdef"
	p := make([]byte, 8)
	for i := range p {
		p[i] = digits[rng.IntN(len(digits))]
	}
	return string(p)
}

// Close stops the replica and waits until the last effect has been performed.
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
		case t := <-c.inbox:
			c.runTask(t)
			c.drainInbox()
		case <-tick.C:
			c.tick()
		}
	}
}

// task is work for the loop: an event for the replica, or a function.
type task struct {
	event kqreplica.Event
	run   func()
}

func (c *Control) runTask(t task) {
	if t.event != nil {
		c.reduce(t.event)
		return
	}
	t.run()
}

func (c *Control) tick() {
	if c.isFull() {
		c.retryFull()
		return
	}
	c.reduce(kqreplica.Tick{})
	c.flush()
}

// drainInbox runs the tasks that queued up during the last one. All commands among
// them are proposed together, so that they share one sync.
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

// post queues f to run in the loop; it returns false if the loop has ended.
func (c *Control) post(f func()) bool {
	return c.enqueue(task{run: f})
}

func (c *Control) enqueue(t task) bool {
	select {
	case c.inbox <- t:
		return true
	case <-c.done:
		return false
	}
}

// reduce passes one event to the replica; it must run in the loop.
func (c *Control) reduce(ev kqreplica.Event) {
	if c.isFull() {
		c.reduceWhileFull(ev)
		return
	}
	c.pendingEffects = append(c.pendingEffects, c.replica.Reduce(c.cfg.Clock.Now(), ev)...)
}

// flush performs the pending effects, unless they wait for room on the disk.
func (c *Control) flush() {
	if c.isFull() {
		return
	}
	list := kqreplica.Merge(c.pendingEffects)
	c.pendingEffects = nil
	if c.failed {
		return
	}
	if err := c.performOrWait(list); err != nil {
		c.fail(err)
	}
}

func (c *Control) fail(err error) {
	c.failed = true
	c.cfg.Log.Errorf("replica stopped: %v", err)
	c.stop()
	c.cfg.Fatal(err)
}

// Receive passes a message of another control host to the replica.
func (c *Control) Receive(from string, m kqreplica.Message) {
	c.enqueue(task{event: kqreplica.Received{From: from, Message: m}})
}

// LinkChanged tells the replica that the link to a peer came up or broke.
func (c *Control) LinkChanged(peer string, up bool) {
	if up {
		c.enqueue(task{event: kqreplica.LinkUp{Peer: peer}})
		return
	}
	c.enqueue(task{event: kqreplica.LinkDown{Peer: peer}})
}
