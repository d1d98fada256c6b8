package kqdaemon

import (
	"context"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"kumquatglade/internal/call/kqlistener"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqdisk"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqlink"
	"kumquatglade/internal/route/kqselection"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

const (
	// confirmInterval is the time between two confirmations to an entry host:
	// three confirmations fit into staleTimeout.
	confirmInterval = 400 * time.Millisecond

	// staleTimeout is the age of the last confirmation at which an entry host
	// subscribes to another control host. Together with one attempt to subscribe
	// it stays below the 2 s within which a change must be in force.
	staleTimeout = 1100 * time.Millisecond

	subscribeTimeout = 500 * time.Millisecond // one attempt to subscribe

	// firstSubscribeTimeout is the time of one attempt before there is a view: as long as a
	// control host waits for a leader, and the transfer of a view over a slow link. Giving
	// up earlier would make several views compete for that link.
	firstSubscribeTimeout = 1300 * time.Millisecond
	linkHeartbeatInterval = 500 * time.Millisecond // per link

	defaultRetryWindow  = 10 * time.Second
	memoryLimitFraction = 0.5 // the soft limit of the Go runtime, as a fraction of the memory that the process may use
	gcPercent           = 50  // below the default of 100: memory is scarcer than processor time
)

// startSeeded starts a host that is configured with a few control hosts, the seeds,
// and discovers the others.
func (d *Daemon) startSeeded() error {
	d.started = time.Now()
	d.tuneMemory()
	d.SetSeeds(d.settings.Seeds)
	mesh, err := kqlink.Listen(kqlink.Config{
		Host: d.settings.Host, Listen: d.settings.Listen.Peers, Secret: d.settings.Secret, HeartbeatInterval: linkHeartbeatInterval, OutboundOnly: !d.settings.HasRole(kqsettings.RoleControl),
		Clock: d.events.Clock(), Log: d.log.Component("link"), Metrics: d.metrics, Receiver: receiver{d},
	})
	if err != nil {
		return err
	}
	d.mesh = mesh
	if d.settings.HasRole(kqsettings.RoleControl) {
		if err := d.startSeededControl(); err != nil {
			return err
		}
	}
	if d.settings.HasRole(kqsettings.RoleEntry) {
		d.startSeededEntry()
	}
	d.markReady()
	d.dialPeers()
	if d.control != nil {
		d.hub.Run(confirmedSource{d.control, d.voter})
		d.wg.Go(d.publishEntryHosts)
	}
	if d.follower != nil {
		d.follower.Run()
	}
	return d.listenSeeded()
}

func (d *Daemon) tuneMemory() {
	debug.SetGCPercent(gcPercent)
	if d.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(d.settings.Memory)))
	}
}

func (d *Daemon) startSeededControl() error {
	disk, err := kqdisk.Open(d.settings.Data)
	if err != nil {
		return err
	}
	d.disk = disk
	d.presence, d.stateChanged = map[string]entryPresence{}, make(chan struct{}, 1)
	d.hub = kqfeed.NewHub(kqfeed.HubConfig{
		Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("hub"), Controls: func() []string { return nil },
		ConfirmInterval: confirmInterval, Unlisted: true,
	})
	var founders []kqreplica.MemberSpec
	for _, ip := range d.seedIPs() {
		founders = append(founders, kqreplica.MemberSpec{Host: ip, Peers: d.peersAddr(ip), Voter: true})
	}
	d.control, err = kqcontrol.Start(kqcontrol.Config{
		Self:  kqreplica.MemberSpec{Host: d.settings.Host, Domain: d.settings.Domain, Peers: d.settings.Listen.Peers},
		Hosts: founders, Disk: disk, Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("control"),
		Events: d.events, Metrics: d.metrics, Rand: newRand(),
		Tolerance: d.settings.Tolerance, OpenMembership: true, JoinOnly: !d.settings.Bootstrap,
		Domains: slices.Sorted(maps.Keys(d.settings.Domains)),
		Changed: d.pushChanges, Restored: d.hub.Reset, MembersChanged: d.setMembers, Fatal: d.fail,
	})
	d.localStore = kqcontrol.LocalStore{Control: d.control, Hub: d.hub}
	if err != nil {
		return err
	}
	return d.startVoter()
}

func (d *Daemon) startSeededEntry() {
	shared := d.settings.Shared
	d.asker = d.newAsker()
	d.proxy = kqproxy.New(kqproxy.Config{
		HeaderNames: d.opts.API.HeaderNames, Host: d.settings.Host, Domain: d.settings.Domain, Clock: kqclock.System{}, Rand: newRand(), Log: d.log.Component("request"),
		StateAge: func() time.Duration { return d.follower.StateAge() }, Domains: d.regions(), Limiter: d.asker,
		Metrics: d.metrics, LinkRate: d.settings.LinkRate(), Memory: int64(d.settings.Memory), Hosts: func() int { return max(len(d.follower.Listeners()), 1) },
		Limits: kqproxy.Limits{
			RetryRatio: shared.RetryRatio, RetrySlack: shared.RetrySlack,
			RetryWindow: shared.RetryWindow.Or(defaultRetryWindow), ProbeRate: shared.ProbesPerSecond,
			Cold: kqselection.ColdLimits{Overrun: shared.ColdOverrun, Slack: shared.ColdSlack},
		},
		Entries: d.entries, Keyed: d.settings.Keyed, ExactHosts: d.settings.ExactHosts,
	})
	ready := false
	d.follower = kqfeed.NewFollower(kqfeed.FollowerConfig{
		Host: d.self(), Controls: d.feedControls, Link: d.mesh, Clock: kqclock.System{},
		Log: d.log.Component("feed"), Events: d.events, Metrics: d.metrics, OnControls: d.setHubControls, StaleAfter: staleTimeout, SubscribeTimeout: subscribeTimeout, FirstTimeout: firstSubscribeTimeout,
		OnView: func(v *kqfeed.View) {
			d.proxy.Apply(v.Revision, v.Routes, v.Targets, v.Evacuations)
			if !ready && d.proxy.Ready() {
				ready = true
				go d.sendPresenceToAll()
			}
		},
	})
}

// entries returns the list of entry hosts that this host was last told.
func (d *Daemon) entries() kqproxy.Entries {
	return kqproxy.Entries{Self: d.settings.Listen.Calls, List: d.follower.Listeners(), HeardAt: d.follower.HeardAt()}
}

// regions returns the region of each failure domain. That of this host's own is known without
// an entry in the list.
func (d *Daemon) regions() map[string]string {
	m := map[string]string{d.settings.Domain: d.settings.Region}
	maps.Copy(m, d.settings.Domains)
	return m
}

func (d *Daemon) self() kqcontract.EntryHost {
	return kqcontract.EntryHost{
		Name: d.settings.Host, Domain: d.settings.Domain, Region: d.settings.Region,
		Calls: d.settings.Listen.Calls, Peers: d.settings.Listen.Peers,
	}
}

// listenSeeded opens the listen addresses of the settings.
func (d *Daemon) listenSeeded() error {
	d.startAdmin()
	admin := newEcho()
	d.admin.Register(admin)
	admin.GET("/metrics", d.writeMetrics)
	listeners := []struct {
		name, addr string
		register   func(*echo.Echo)
	}{
		{"ready", d.settings.Listen.Ready, func(e *echo.Echo) { d.opts.API.RegisterReady(e, d.acceptsRequests) }},
		{"control", d.settings.Listen.Control, func(e *echo.Echo) { d.opts.API.RegisterControl(e, d.localStore, d.log.Component("control")) }},
		{"directory", d.settings.Listen.Directory, func(e *echo.Echo) { d.opts.API.RegisterDirectory(e, d.directoryEntries) }},
	}
	if err := d.serveOther("admin", d.settings.Listen.Admin, admin); err != nil {
		return err
	}
	for _, l := range listeners {
		if l.addr == "" {
			continue
		}
		e := newEcho()
		l.register(e)
		if err := d.serveOther(l.name, l.addr, e); err != nil {
			return err
		}
	}
	if d.proxy == nil {
		return nil
	}
	return d.serveCallers()
}

// serveCallers accepts the connections of callers.
func (d *Daemon) serveCallers() error {
	l, err := net.Listen("tcp", d.settings.Listen.Calls)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.callers = kqlistener.Open(kqlistener.Config{Listener: l, Log: d.log, Metrics: d.metrics})
	srv := newServer(d.callers.Handler(d.proxy))
	srv.ConnContext, srv.ConnState = d.callers.ConnContext, d.callers.ConnState
	d.serveOn(d.callers, srv)
	return nil
}

func (d *Daemon) writeMetrics(c echo.Context) error {
	metrics.GetOrRegisterGauge("log.dropped", d.metrics).Update(d.log.Dropped())
	metrics.WriteOnce(d.metrics, c.Response())
	return nil
}

// closingTime is how long before the end of a shutdown the host stops accepting
// connections, so that those it has accepted get their responses. These take a few
// milliseconds, but a busy machine may not run the process for some tenths of a second.
const closingTime = 400 * time.Millisecond

// failTime is how long before the end of a shutdown requests to targets that may never answer
// are ended, so that their callers get an error: a few round trips to callers.
const failTime = 150 * time.Millisecond

// stopCallers ends the connections of callers by the given time. Requests that might not be
// finished by then are refused from the start, so that only refusals are left at the end.
// Closing expedite makes it refuse all further requests.
func (d *Daemon) stopCallers(end time.Time, expedite <-chan struct{}) {
	d.log.Infof("stopping: no longer ready, %d requests in flight", d.proxy.InFlight())
	d.proxy.Stop(end)
	d.sendPresenceToAll()
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-closingTime))
	defer cancel()
	hurry, stopWaiting := context.WithCancel(ctx)
	defer stopWaiting()
	go func() {
		select {
		case <-expedite:
			d.proxy.Stop(time.Now())
			stopWaiting()
		case <-hurry.Done():
		}
	}()
	select {
	case <-hurry.Done():
	case <-time.After(d.settings.Stop.CacheTime.Or(holdTime)):
	}
	_ = d.callers.Drain(hurry) // what is left is drained below
	if err := d.callers.StopAccepting(); err != nil {
		d.log.Warnf("cannot close the listening socket: %v", err)
	}
	ctx, cancel = context.WithDeadline(context.Background(), end)
	defer cancel()
	failing := time.AfterFunc(time.Until(end)-failTime, d.proxy.FailUnanswered)
	defer failing.Stop()
	err := d.callers.Drain(ctx)
	if n := d.proxy.InFlight(); err != nil && n > 0 { // else only the ends of connections are under way
		d.log.Warnf("stopping with %d requests in flight: %v", n, err)
		d.proxy.LogCut()
	}
}

func (d *Daemon) seedIPs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seeds
}

// SetSeeds replaces the seeds, after the settings have changed.
func (d *Daemon) SetSeeds(list []string) {
	var ips []string
	for _, s := range list {
		ip, _, err := net.SplitHostPort(s)
		if err != nil {
			d.log.Warnf("seed %q: %v", s, err)
			continue
		}
		ips = append(ips, ip)
	}
	d.mu.Lock()
	same := slices.Equal(ips, d.seeds)
	d.seeds = ips
	d.mu.Unlock()
	if !same {
		d.log.Infof("seeds are %v", ips)
		d.dialPeers()
	}
}

// peersAddr returns the peers address of the host with the IP: the port is the
// same on all hosts.
func (d *Daemon) peersAddr(ip string) string {
	_, port, _ := net.SplitHostPort(d.settings.Listen.Peers) // validated
	return net.JoinHostPort(ip, port)
}
