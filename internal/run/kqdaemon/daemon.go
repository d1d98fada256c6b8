package kqdaemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqcall"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/call/kqquota"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqdisk"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqlink"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/route/kqpolicy"
	"kumquatglade/internal/route/kqregistry"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	maxHeader     = 64 << 10 // bytes
)

// Daemon is one running host.
type Daemon struct {
	settings kqsettings.Settings
	opts     Options
	log      *kqlog.Log
	events   *kqevent.Recorder
	metrics  metrics.Registry
	mesh     *kqlink.Mesh
	disk     *kqdisk.Folder
	fatal    chan error

	// Parts of the role control.
	control *kqcontrol.Control
	hub     *kqfeed.Hub
	local   kqcontrol.Local

	// Parts of the role entry.
	follower *kqfeed.Follower
	roster   *kqregistry.TargetRegistry
	engine   *kqcall.Engine
	passer   *kqproxy.Engine // of a host that finds the others by seeds
	keeper   *kqidempotency.Coordinator
	lender   *kqquota.Agent

	admin   *kqadmin.Server
	servers []*http.Server
	wait    sync.WaitGroup
	ready   chan struct{} // closed when all parts are there, or none will come
	opened  sync.Once

	mu       sync.Mutex
	members  []kqreplica.Member
	leaving  bool
	seeds    []string           // IPs of the seeds
	learned  []kqfeed.Neighbour // control hosts, as a hub told
	presence map[string]present // entry hosts, as they told this control host
	began    time.Time
	came     time.Time     // when an entry host last told of itself
	stopped  chan struct{} // closed when a host with seeds ends
	ended    sync.Once
}

// Options change a host for experiments; the zero value is what users run.
type Options struct {
	Policy string // routing policy, kqpolicy.NameExpected if empty
	Plain  bool   // the policy alone decides: no free slots, ramps, ejections or hedges
	Wide   bool   // resolve answers name all entry hosts
	Doors  *Doors // of a host with seeds, the product's own if nil
}

// Start wires and starts the host.
func Start(s kqsettings.Settings, log *kqlog.Log) (*Daemon, error) {
	return StartWith(s, log, Options{})
}

// StartWith starts the host with options for experiments.
func StartWith(s kqsettings.Settings, log *kqlog.Log, opts Options) (*Daemon, error) {
	if opts.Policy == "" {
		opts.Policy = kqpolicy.NameLeastExpectedTime
	}
	if opts.Doors == nil {
		opts.Doors = OwnDoors()
	}
	d := &Daemon{
		opts:     opts,
		settings: s, log: log, events: kqevent.NewRecorder(s.Host, time.Now),
		metrics: metrics.NewRegistry(), fatal: make(chan error, 1), ready: make(chan struct{}), stopped: make(chan struct{}),
	}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	d.log.Infof("host %s in domain %s runs as %v", s.Host, s.Domain, s.Roles)
	return d, nil
}

func (d *Daemon) start() error {
	if len(d.settings.Seeds) > 0 {
		return d.startSeeded()
	}
	mesh, err := kqlink.Listen(kqlink.Config{
		Host: d.settings.Host, Listen: d.settings.Listen.Peers, Secret: d.settings.Secret,
		Clock: d.events.Clock(), Log: d.log.Component("link"), Metrics: d.metrics, Receiver: receiver{d},
	})
	if err != nil {
		return err
	}
	d.mesh = mesh
	if d.settings.HasRole(kqsettings.RoleControl) {
		if err := d.startControl(); err != nil {
			return err
		}
	}
	if d.settings.HasRole(kqsettings.RoleEntry) {
		if err := d.startEntry(); err != nil {
			return err
		}
	}
	d.startAdmin()
	d.open()
	d.dialPeers()
	if d.control != nil {
		d.hub.Run(d.control)
	}
	if d.follower != nil {
		d.follower.Run()
		d.lender.Run()
	}
	return d.listen()
}

// open lets messages of peers in.
func (d *Daemon) open() {
	d.opened.Do(func() { close(d.ready) })
}

func seeded() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (d *Daemon) startControl() error {
	disk, err := kqdisk.Open(d.settings.Data)
	if err != nil {
		return err
	}
	d.disk = disk
	d.hub = kqfeed.NewHub(kqfeed.HubConfig{
		Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("hub"), Controls: d.otherControls,
	})
	var wants []kqreplica.MemberSpec
	for _, c := range d.settings.Control {
		wants = append(wants, kqreplica.MemberSpec{Host: c.Host, Domain: c.Domain, Peers: c.Peers, Voter: true})
	}
	d.control, err = kqcontrol.Start(kqcontrol.Config{
		Hosts: wants, Disk: disk, Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("control"),
		Events: d.events, Metrics: d.metrics, Rand: seeded(),
		Changed: d.hub.Push, Restored: d.hub.Reset, Members: d.setMembers, Fatal: d.fail,
	})
	d.local = kqcontrol.Local{Control: d.control, Hub: d.hub}
	return err
}

// fail makes the host stop; the first cause is kept.
func (d *Daemon) fail(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

// Fatal tells of an error after which the host must stop.
func (d *Daemon) Fatal() <-chan error {
	return d.fatal
}

func (d *Daemon) startEntry() error {
	if _, ok := kqpolicy.New(d.opts.Policy); !ok {
		return errors.Newf("policy %q is unknown", d.opts.Policy)
	}
	self := kqcontract.Host{
		Name: d.settings.Host, Domain: d.settings.Domain, Region: d.settings.Region,
		Calls: d.settings.Listen.Calls, Peers: d.settings.Listen.Peers,
	}
	// The parts below begin to ask for the view as soon as they are made.
	var old *kqfeed.View
	d.follower = kqfeed.NewFollower(kqfeed.FollowerConfig{
		Host: self, Controls: d.neighbours, Link: d.mesh, Clock: kqclock.System{},
		Log: d.log.Component("feed"), Events: d.events,
		InForce: func(v *kqfeed.View) {
			d.lender.SetHosts(v.Listed, entryNames(v))
			d.engine.ApplyView(old, v)
			d.keeper.SetHosts(v.Listed, v.Hosts.Entry, d.follower.New())
			old = v
			d.dialPeers()
		},
	})
	d.keeper = kqidempotency.New(kqidempotency.Config{Link: d.mesh, Clock: kqclock.System{}, Events: d.events})
	d.lender = kqquota.New(kqquota.Config{
		Link: d.mesh, Clock: kqclock.System{}, PreferredHosts: d.preferred,
		Usages: func() []kqdispatch.Usage { return d.engine.Usages() }, OnChange: func() { d.engine.RefreshLimits() },
	})
	d.engine = kqcall.NewEngine(kqcall.Config{
		Host: d.settings.Host, Policy: d.newPolicy, PolicyOnly: d.opts.Plain, Clock: kqclock.System{}, Rand: seeded(),
		Events: d.events, Metrics: d.metrics, Coordinator: d.keeper, LimitFraction: d.lender.Fraction, View: func() *kqfeed.View { return d.follower.View() },
	})
	d.roster = kqregistry.NewTargetRegistry(kqregistry.Config{
		Host: d.settings.Host, Link: d.mesh, Clock: kqclock.System{}, Events: d.events, Metrics: d.metrics,
		View:          func() *kqfeed.View { return d.follower.View() },
		NewestView:    func() *kqfeed.View { return d.follower.Known() },
		AllEntryHosts: d.opts.Wide,
		OnUpdate:      d.engine.TargetUpdated, OnLoad: d.engine.TargetReported,
	})
	return nil
}

func (d *Daemon) newPolicy() kq.Policy {
	p, _ := kqpolicy.New(d.opts.Policy) // the name is checked at the start
	return p
}

func (d *Daemon) startAdmin() {
	var store kqcontrol.Store = kqcontrol.Remote{Link: d.mesh, Controls: d.controls(), Hub: d.hubHost}
	if d.control != nil {
		store = d.local
	}
	cfg := kqadmin.Config{
		OperatorKey: d.settings.OperatorKey, Link: d.mesh, Store: store, Events: d.events, Metrics: d.metrics,
		Status: d.status, Health: d.healthy, Hosts: d.allHosts,
	}
	if d.engine != nil {
		cfg.Targets = d.roster.All
		cfg.Account = d.engine.Accounts().Rows
	}
	d.admin = kqadmin.NewServer(cfg)
}

func (d *Daemon) listen() error {
	admin := newEcho()
	d.admin.Register(admin)
	if err := d.serve(d.settings.Listen.Admin, admin); err != nil {
		return err
	}
	if d.engine == nil {
		return nil
	}
	calls := newEcho()
	d.roster.Register(calls)
	calls.Any("/*", echo.WrapHandler(d.engine))
	return d.serve(d.settings.Listen.Calls, calls)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (d *Daemon) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	d.servers = append(d.servers, srv)
	d.wait.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(errors.Wrapf(err, "serve %s", addr))
		}
	})
	return nil
}

// Close stops all parts at once; calls in progress are cut.
func (d *Daemon) Close() {
	d.open()
	d.stopWatch()
	for _, s := range d.servers {
		s.Close()
	}
	d.wait.Wait()
	if d.passer != nil {
		d.passer.Close()
		d.follower.Close()
	} else if d.follower != nil {
		d.follower.Close()
		d.roster.Close()
		d.engine.Close()
		d.keeper.Close()
		d.lender.Close()
	}
	if d.hub != nil {
		d.hub.Close()
	}
	if d.control != nil {
		d.control.Close()
	}
	if d.mesh != nil {
		d.mesh.Close()
	}
	if d.disk != nil {
		d.disk.Close()
	}
}

// Stop ends the host as planned: it leaves the resolve answers at once, serves
// while callers may still hold an earlier answer, and finishes the calls in
// progress. A closed hurry skips the first wait.
func (d *Daemon) Stop(hurry <-chan struct{}) {
	if len(d.settings.Seeds) > 0 {
		d.stopSeeded(hurry)
		return
	}
	if d.engine != nil {
		d.mu.Lock()
		d.leaving = true
		d.mu.Unlock()
		d.log.Infof("stopping: no longer in resolve answers")
		d.roster.Leave()
		d.engine.Drain()
		select {
		case <-hurry:
		case <-time.After(holdTime):
		}
		d.finishCalls(hurry)
	}
	d.Close()
}

const (
	holdTime   = 12 * time.Second // the longest that callers keep an answer, and a little
	finishTime = 30 * time.Second // for calls in progress
	hurryTime  = 5 * time.Second  // for calls in progress when hurried
)

func (d *Daemon) finishCalls(hurry <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	go func() {
		select {
		case <-hurry:
			rest, stop := context.WithTimeout(ctx, hurryTime)
			defer stop()
			<-rest.Done()
			cancel()
		case <-ctx.Done():
		}
	}()
	for _, s := range d.servers {
		s.Shutdown(ctx) // Close follows
	}
}
