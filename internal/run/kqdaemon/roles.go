package kqdaemon

import (
	"math/rand/v2"

	kq "kumquatglade"
	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqcall"
	"kumquatglade/internal/call/kqidempotency"
	"kumquatglade/internal/call/kqquota"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqdisk"
	"kumquatglade/internal/route/kqdispatch"
	"kumquatglade/internal/route/kqpolicy"
	"kumquatglade/internal/route/kqregistry"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

func (d *Daemon) startControl() error {
	disk, err := kqdisk.Open(d.settings.Data)
	if err != nil {
		return err
	}
	d.disk = disk
	d.hub = kqfeed.NewHub(kqfeed.HubConfig{
		Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("hub"), Controls: d.otherControls,
	})
	var members []kqreplica.MemberSpec
	for _, c := range d.settings.Control {
		members = append(members, kqreplica.MemberSpec{Host: c.Host, Domain: c.Domain, Peers: c.Peers, Voter: true})
	}
	d.control, err = kqcontrol.Start(kqcontrol.Config{
		Hosts: members, Disk: disk, Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("control"),
		Events: d.events, Metrics: d.metrics, Rand: newRand(),
		Changed: d.hub.Push, Restored: d.hub.Reset, MembersChanged: d.setMembers, Fatal: d.fail,
	})
	d.localStore = kqcontrol.LocalStore{Control: d.control, Hub: d.hub}
	return err
}

func (d *Daemon) startEntry() error {
	if _, ok := kqpolicy.New(d.opts.Policy); !ok {
		return errors.Newf("policy %q is unknown", d.opts.Policy)
	}
	self := kqcontract.EntryHost{
		Name: d.settings.Host, Domain: d.settings.Domain, Region: d.settings.Region,
		Calls: d.settings.Listen.Calls, Peers: d.settings.Listen.Peers, Boot: rand.Uint64(),
	}
	// The components below use the follower's view as soon as they are created.
	var old *kqfeed.View
	d.follower = kqfeed.NewFollower(kqfeed.FollowerConfig{
		Host: self, Controls: d.feedControls, Link: d.mesh, Clock: kqclock.System{},
		Log: d.log.Component("feed"), Events: d.events, Metrics: d.metrics,
		OnView: func(v *kqfeed.View) {
			d.quota.SetHosts(v.HostsRevision, entryNames(v))
			d.engine.ApplyView(old, v)
			d.coordinator.SetHosts(v.HostsRevision, v.Hosts.Entry, d.follower.IsNewHost())
			if old == nil || old.HostsRevision != v.HostsRevision {
				d.targets.Listed(old, v)
			}
			old = v
			d.dialPeers()
		},
	})
	d.coordinator = kqidempotency.New(kqidempotency.Config{Link: d.mesh, Clock: kqclock.System{}, Events: d.events})
	d.quota = kqquota.New(kqquota.Config{
		Link: d.mesh, Clock: kqclock.System{}, PreferredHosts: d.preferred,
		Usages: func() []kqdispatch.Usage { return d.engine.Usages() }, OnChange: func() { d.engine.RefreshLimits() },
	})
	d.engine = kqcall.NewEngine(kqcall.Config{
		Host: d.settings.Host, Policy: d.newPolicy, PolicyOnly: d.opts.PolicyOnly, Clock: kqclock.System{}, Rand: newRand(),
		Events: d.events, Metrics: d.metrics, Coordinator: d.coordinator, LimitFraction: d.quota.Fraction, Memory: int64(d.settings.Memory), View: func() *kqfeed.View { return d.follower.View() },
	})
	d.targets = kqregistry.NewTargetRegistry(kqregistry.Config{
		Host: d.settings.Host, Link: d.mesh, Clock: kqclock.System{}, Events: d.events, Metrics: d.metrics,
		View:          func() *kqfeed.View { return d.follower.View() },
		NewestView:    func() *kqfeed.View { return d.follower.LatestView() },
		AllEntryHosts: d.opts.AllEntryHosts,
		OnUpdate:      d.engine.TargetUpdated, OnLoad: d.engine.TargetReported,
	})
	return nil
}

func (d *Daemon) newPolicy() kq.Policy {
	p, _ := kqpolicy.New(d.opts.Policy) // startEntry checked the name
	return p
}

func (d *Daemon) startAdmin() {
	var store kqcontrol.Store = kqcontrol.RemoteStore{Link: d.mesh, ControlHosts: d.controlNames, PreferredHost: d.hubHost}
	if d.control != nil {
		store = d.localStore
	}
	cfg := kqadmin.Config{
		OperatorKey: d.settings.OperatorKey, Link: d.mesh, Store: store, Events: d.events, Metrics: d.metrics,
		Status: d.status, Health: d.healthy, Hosts: d.allHosts,
	}
	if d.engine != nil {
		cfg.Targets = d.targets.All
		cfg.Account = d.engine.Accounts().Rows
	}
	if d.proxy != nil {
		cfg.Owners = d.proxy.Owners
	}
	d.admin = kqadmin.NewServer(cfg)
}
