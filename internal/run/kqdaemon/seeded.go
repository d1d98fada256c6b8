package kqdaemon

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqdisk"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqlink"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

const (
	// freshEvery is the time between two confirmations to an entry host: three
	// fit into staleAfter.
	freshEvery = 400 * time.Millisecond

	// staleAfter is the age of the last confirmation at which an entry host
	// turns to another control host: with one try to subscribe it stays below
	// the two seconds in which a change must be in force.
	staleAfter = 1100 * time.Millisecond

	subscribeTime = 500 * time.Millisecond // one try to subscribe
	linkBeat      = 500 * time.Millisecond // between two heartbeats of a link

	defaultWindow = 10 * time.Second
	memoryShare   = 0.5 // of the memory that the process may use, at which the collector works harder
	gcPercent     = 50  // growth of the heap between two collections: memory is dearer than processor time
)

// startSeeded starts a host that is told a few control hosts and finds the rest.
func (d *Daemon) startSeeded() error {
	d.began = time.Now()
	d.tuneMemory()
	d.SetSeeds(d.settings.Seeds)
	mesh, err := kqlink.Listen(kqlink.Config{
		Host: d.settings.Host, Listen: d.settings.Listen.Peers, Secret: d.settings.Secret, Beat: linkBeat, Eager: !d.settings.HasRole(kqsettings.RoleControl),
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
	d.open()
	d.dialPeers()
	if d.control != nil {
		d.hub.Run(d.control)
		d.wait.Go(d.watchDoors)
	}
	if d.follower != nil {
		d.follower.Run()
	}
	return d.listenSeeded()
}

func (d *Daemon) tuneMemory() {
	debug.SetGCPercent(gcPercent)
	if d.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.Memory)))
	}
}

func (d *Daemon) startSeededControl() error {
	disk, err := kqdisk.Open(d.settings.Data)
	if err != nil {
		return err
	}
	d.disk = disk
	d.presence = map[string]present{}
	d.hub = kqfeed.NewHub(kqfeed.HubConfig{
		Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("hub"), Controls: func() []string { return nil },
		Fresh: freshEvery, Unlisted: true,
	})
	var founders []kqreplica.MemberSpec
	for _, ip := range d.seedIPs() {
		founders = append(founders, kqreplica.MemberSpec{Host: ip, Peers: d.peersAddr(ip), Voter: true})
	}
	d.control, err = kqcontrol.Start(kqcontrol.Config{
		Self:  kqreplica.MemberSpec{Host: d.settings.Host, Domain: d.settings.Domain, Peers: d.settings.Listen.Peers},
		Hosts: founders, Disk: disk, Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("control"),
		Events: d.events, Metrics: d.metrics, Rand: seeded(),
		Tolerance: d.settings.Tolerance, Open: true, NeverFound: !d.settings.Bootstrap,
		Changed: d.hub.Push, Restored: d.hub.Reset, Members: d.setMembers, Fatal: d.fail,
	})
	d.local = kqcontrol.Local{Control: d.control, Hub: d.hub}
	return err
}

func (d *Daemon) startSeededEntry() {
	shared := d.settings.Shared
	d.passer = kqproxy.New(kqproxy.Config{
		HeaderNames: d.opts.Doors.Names, Domain: d.settings.Domain, Clock: kqclock.System{}, Rand: seeded(), Log: d.log.Component("request"),
		Metrics: d.metrics, Hosts: func() int { return max(len(d.follower.Doors()), 1) },
		Limits: kqproxy.Limits{
			RetryRatio: shared.RetryRatio, RetrySlack: shared.RetrySlack,
			RetryWindow: shared.RetryWindow.Or(defaultWindow), ProbeRate: shared.ProbesPerSecond,
		},
	})
	ready := false
	d.follower = kqfeed.NewFollower(kqfeed.FollowerConfig{
		Host: d.self(), Controls: d.neighbours, Link: d.mesh, Clock: kqclock.System{},
		Log: d.log.Component("feed"), Events: d.events, Learned: d.learn, Stale: staleAfter, Subscribe: subscribeTime,
		InForce: func(v *kqfeed.View) {
			d.passer.Apply(v.Revision, v.Routes, v.Targets)
			if !ready && d.passer.Ready() {
				ready = true
				go d.tellPresence()
			}
		},
	})
}

func (d *Daemon) self() kqcontract.Host {
	return kqcontract.Host{
		Name: d.settings.Host, Domain: d.settings.Domain, Region: d.settings.Region,
		Calls: d.settings.Listen.Calls, Peers: d.settings.Listen.Peers,
	}
}

// listenSeeded opens the doors that the settings name.
func (d *Daemon) listenSeeded() error {
	d.startAdmin()
	admin := newEcho()
	d.admin.Register(admin)
	admin.GET("/metrics", d.textMetrics)
	doors := []struct {
		addr     string
		register func(*echo.Echo)
	}{
		{d.settings.Listen.Ready, func(e *echo.Echo) { d.opts.Doors.Ready(e, d.takes) }},
		{d.settings.Listen.Control, func(e *echo.Echo) { d.opts.Doors.Control(e, d.local, d.log.Component("control")) }},
		{d.settings.Listen.Directory, func(e *echo.Echo) { d.opts.Doors.Directory(e, d.doorsFor) }},
	}
	if err := d.serve(d.settings.Listen.Admin, admin); err != nil {
		return err
	}
	for _, door := range doors {
		if door.addr == "" {
			continue
		}
		e := newEcho()
		door.register(e)
		if err := d.serve(door.addr, e); err != nil {
			return err
		}
	}
	if d.passer == nil {
		return nil
	}
	return d.serve(d.settings.Listen.Calls, d.passer)
}

func (d *Daemon) textMetrics(c echo.Context) error {
	metrics.GetOrRegisterGauge("log.dropped", d.metrics).Update(d.log.Dropped())
	metrics.WriteOnce(d.metrics, c.Response())
	return nil
}

// stopSeeded ends the host as planned: not ready at once, out of the
// directory's answers at once; it serves on while callers hold an earlier
// answer, and finishes what is in progress.
func (d *Daemon) stopSeeded(hurry <-chan struct{}) {
	began := time.Now()
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	if d.passer != nil {
		d.log.Infof("stops: no longer ready, %d requests in progress", d.passer.InFlight())
		d.passer.Stop()
		d.tellPresence()
		select {
		case <-hurry:
		case <-time.After(d.settings.Stop.CacheTime.Or(holdTime)):
		}
		left := d.settings.Stop.Timeout.Or(finishTime) - time.Since(began)
		ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
		defer cancel()
		for _, s := range d.servers {
			if err := s.Shutdown(ctx); err != nil {
				d.log.Warnf("stops with %d requests in progress: %v", d.passer.InFlight(), err)
			}
		}
	}
	d.log.Infof("stopped after %s", time.Since(began))
	d.Close()
	d.log.Flush()
}

func (d *Daemon) seedIPs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seeds
}

// SetSeeds takes the seeds of changed settings.
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

// peersAddr is where a host of the IP listens for peers: the port is the same
// on all hosts.
func (d *Daemon) peersAddr(ip string) string {
	_, port, _ := net.SplitHostPort(d.settings.Listen.Peers) // validated
	return net.JoinHostPort(ip, port)
}
