package kqdaemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqcall"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqlistener"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/call/kqquota"
	"kumquatglade/internal/host/kqdisk"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqlink"
	"kumquatglade/internal/route/kqpolicy"
	"kumquatglade/internal/route/kqregistry"
	"kumquatglade/internal/route/kqtokens"
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

	// Components of the control role.
	control    *kqcontrol.Control
	hub        *kqfeed.Hub
	localStore kqcontrol.LocalStore
	voter      *kqtokens.Voter // of a host with seeds

	stateChanged chan struct{} // tells the voter of a change

	// Components of the entry role.
	follower    *kqfeed.Follower
	targets     *kqregistry.TargetRegistry
	engine      *kqcall.Engine
	proxy       *kqproxy.Engine // of a host with seeds, which has no engine
	asker       *kqtokens.Asker // of a host with seeds
	coordinator *kqidempotency.Coordinator
	quota       *kqquota.Agent

	admin     *kqadmin.Server
	servers   []*http.Server
	callers   *kqlistener.Listener // of a host with seeds
	calls     *server              // of a host without seeds
	others    []*server            // what is not for callers
	wg        sync.WaitGroup
	ready     chan struct{} // closed when all components exist or the daemon closes
	readyOnce sync.Once

	mu           sync.Mutex
	members      []kqreplica.Member
	leaving      bool
	seeds        []string                 // IPs of the seeds
	hubControls  []kqfeed.ControlHost     // control hosts, as announced by a hub
	presence     map[string]entryPresence // entry hosts, as they announced themselves to this control host
	started      time.Time
	lastPresence time.Time     // when an entry host last announced itself
	stopped      chan struct{} // closed when the daemon closes
	stopOnce     sync.Once
}

// Options change a host for experiments; the zero value is the regular
// configuration.
type Options struct {
	Policy        string       // routing policy, kqpolicy.NameExpected if empty
	PolicyOnly    bool         // no free slots, ramps, ejections or hedges
	AllEntryHosts bool         // resolve answers contain all entry hosts
	API           *ExternalAPI // of a host with seeds, NativeAPI if nil
}

// Start creates and starts a host with the default options.
func Start(s kqsettings.Settings, log *kqlog.Log) (*Daemon, error) {
	return StartWith(s, log, Options{})
}

// StartWith creates and starts a host with options for experiments.
func StartWith(s kqsettings.Settings, log *kqlog.Log, opts Options) (*Daemon, error) {
	if opts.Policy == "" {
		opts.Policy = kqpolicy.NameLeastExpectedTime
	}
	if opts.API == nil {
		opts.API = NativeAPI()
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
	d.markReady()
	d.dialPeers()
	if d.control != nil {
		d.hub.Run(d.control)
	}
	if d.follower != nil {
		d.follower.Run()
		d.quota.Run()
	}
	return d.listen()
}

// markReady lets the receiver handle messages of peers.
func (d *Daemon) markReady() {
	d.readyOnce.Do(func() { close(d.ready) })
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// fail reports an error after which the host must stop; later errors are dropped.
func (d *Daemon) fail(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

// Fatal returns a channel that receives an error after which the host must stop.
func (d *Daemon) Fatal() <-chan error {
	return d.fatal
}

func (d *Daemon) listen() error {
	admin := newEcho()
	d.admin.Register(admin)
	if err := d.serveOther("admin", d.settings.Listen.Admin, admin); err != nil {
		return err
	}
	if d.engine == nil {
		return nil
	}
	calls := newEcho()
	d.targets.Register(calls)
	calls.Any("/*", echo.WrapHandler(d.engine))
	var err error
	d.calls, err = d.serve("calls", d.settings.Listen.Calls, calls)
	return err
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// serveOther serves h on a listener that is not for callers.
func (d *Daemon) serveOther(name, addr string, h http.Handler) error {
	s, err := d.serve(name, addr, h)
	if err != nil {
		return err
	}
	d.others = append(d.others, s)
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func (d *Daemon) serveOn(l net.Listener, srv *http.Server) {
	d.servers = append(d.servers, srv)
	d.wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.fail(errors.Wrapf(err, "serve %s", l.Addr()))
		}
	})
}

// Close stops all components immediately and aborts calls in flight.
func (d *Daemon) Close() {
	d.markReady()
	d.stopPublishing()
	for _, s := range d.servers {
		s.Close()
	}
	d.wg.Wait()
	if d.proxy != nil {
		d.proxy.Close()
		d.follower.Close()
	} else if d.follower != nil {
		d.follower.Close()
		d.targets.Close()
		d.engine.Close()
		d.coordinator.Close()
		d.quota.Close()
	}
	if d.hub != nil {
		d.hub.Close()
	}
	if d.voter != nil {
		d.voter.Close()
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

// Stop shuts the host down gracefully: it leaves the directory's answers at once, serves
// callers while they may still have an earlier answer cached, finishes what is in flight
// and then ends the other listeners, on a control host at once. Closing expedite skips the
// waiting and shortens the rest.
func (d *Daemon) Stop(expedite <-chan struct{}) {
	began := time.Now()
	end := began.Add(holdTime + drainTimeout)
	if len(d.settings.Seeds) > 0 {
		end = began.Add(d.settings.Stop.Timeout.Or(drainTimeout))
	}
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	callersServed, markServed := context.WithCancel(context.Background())
	defer markServed()
	var others sync.WaitGroup
	others.Go(func() { d.endServers(callersServed, end, expedite) })
	switch {
	case d.proxy != nil:
		d.stopCallers(end, expedite)
	case d.engine != nil:
		d.stopCalls(end, expedite)
	}
	markServed()
	others.Wait()
	d.log.Infof("stopped after %s", time.Since(began))
	d.Close()
	d.log.Flush()
}

const (
	holdTime              = 12 * time.Second // slightly longer than callers cache a resolve answer
	drainTimeout          = 30 * time.Second // for calls in flight
	expeditedDrainTimeout = 5 * time.Second  // for calls in flight when expedited
)

// stopCalls ends the connections of callers of a host with contracts by the given time.
func (d *Daemon) stopCalls(end time.Time, expedite <-chan struct{}) {
	d.log.Infof("stopping: no longer in resolve answers")
	d.targets.Leave()
	d.engine.Stop(end)
	select {
	case <-expedite:
	case <-time.After(holdTime):
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go func() {
		select {
		case <-expedite:
			d.engine.Stop(time.Now().Add(expeditedDrainTimeout))
			time.AfterFunc(expeditedDrainTimeout, cancel)
		case <-ctx.Done():
		}
	}()
	if err := d.calls.end(ctx); err != nil {
		d.log.Warnf("stopping with %d calls in flight: %v", d.calls.inFlight.Load(), err)
	}
}
