package kqdaemon

import (
	"maps"
	"slices"

	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"
)

// controlNames returns the names of the control hosts in the settings, or of those
// discovered through seeds.
func (d *Daemon) controlNames() []string {
	var list []string
	for _, c := range d.feedControls() {
		list = append(list, c.Host)
	}
	return list
}

// feedControls returns the control hosts of the settings, or those discovered
// through seeds.
func (d *Daemon) feedControls() []kqfeed.ControlHost {
	if len(d.settings.Seeds) > 0 {
		return d.discoveredControls()
	}
	var list []kqfeed.ControlHost
	for _, c := range d.settings.Control {
		// Without a failure domain the hosts are ordered by hash alone.
		list = append(list, kqfeed.ControlHost{Host: c.Host, Peers: c.Peers})
	}
	return list
}

// controlAddrs returns the known control hosts with their peers addresses.
func (d *Daemon) controlAddrs() map[string]string {
	addrs := map[string]string{}
	for _, c := range d.settings.Control {
		addrs[c.Host] = c.Peers
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		addrs[m.Host] = m.Peers
	}
	return addrs
}

func (d *Daemon) otherControls() []string {
	list := slices.Collect(maps.Keys(d.controlAddrs()))
	return slices.DeleteFunc(list, func(h string) bool { return h == d.settings.Host })
}

// setMembers applies a changed replicated member list of the control hosts.
func (d *Daemon) setMembers(list []kqreplica.Member) {
	d.mu.Lock()
	d.members = list
	d.mu.Unlock()
	if d.hub != nil && len(d.settings.Seeds) > 0 {
		d.publishControls(list)
	}
	d.dialPeers()
}

// peerAddrs returns the addresses of all hosts that this one should be linked to: the control
// hosts, and for an entry host the other entry hosts in force.
func (d *Daemon) peerAddrs() map[string]string {
	if len(d.settings.Seeds) > 0 {
		addrs := map[string]string{}
		for _, n := range d.discoveredControls() {
			addrs[n.Host] = n.Peers
		}
		delete(addrs, d.settings.Host)
		return addrs
	}
	addrs := d.controlAddrs()
	if d.follower != nil {
		if v := d.follower.LatestView(); v != nil {
			for _, h := range v.Hosts.Entry {
				addrs[h.Name] = h.Peers
			}
		}
	}
	delete(addrs, d.settings.Host)
	return addrs
}

func entryNames(v *kqfeed.View) []string {
	names := make([]string, len(v.Hosts.Entry))
	for i, h := range v.Hosts.Entry {
		names[i] = h.Name
	}
	return names
}

// preferred returns the entry hosts that callers of a service are sent to.
func (d *Daemon) preferred(service string) []string {
	v := d.follower.LatestView()
	if v == nil {
		return nil
	}
	var names []string
	for _, h := range d.targets.Preferred(v, service) {
		names = append(names, h.Name)
	}
	return names
}

func (d *Daemon) dialPeers() {
	select {
	case <-d.ready:
	default:
		return // start calls this again
	}
	for host, addr := range d.peerAddrs() {
		d.mesh.Dial(host, addr)
	}
}

func (d *Daemon) hubHost() string {
	if d.follower == nil {
		return ""
	}
	return d.follower.Hub()
}

// allHosts returns every host that operators may query through this one.
func (d *Daemon) allHosts() []string {
	addrs := d.peerAddrs()
	addrs[d.settings.Host] = ""
	if d.control != nil && d.follower == nil {
		acked, _ := d.hub.Acked()
		for h := range acked {
			addrs[h] = ""
		}
	}
	return slices.Collect(maps.Keys(addrs))
}

func (d *Daemon) status() kqadmin.Status {
	s := kqadmin.Status{
		Host: d.settings.Host, Domain: d.settings.Domain, Region: d.settings.Region, Roles: d.settings.Roles,
		Serving: d.healthy(), Hub: d.hubHost(), Peers: map[string]bool{},
	}
	for h := range d.peerAddrs() {
		s.Peers[h] = d.mesh.Up(h)
	}
	if d.follower != nil {
		if d.engine != nil {
			s.Calls = d.engine.ActiveCalls()
		}
		if v := d.follower.LatestView(); v != nil {
			s.Revision, s.Evacuated = v.Revision, v.EvacuatedDomains()
		}
	}
	if d.control != nil {
		if st, err := d.control.Status(); err == nil {
			s.Replica = st
		}
		if d.follower == nil {
			s.Evacuated = d.localStore.EvacuatedDomains()
		}
		if d.voter != nil {
			if uses := d.voter.Uses(); len(uses) > 0 {
				s.Shares = uses
			}
		}
	}
	return s
}

// Serving reports whether callers and targets may use this host.
func (d *Daemon) Serving() bool {
	return d.healthy()
}

// CountTargets returns how many live targets of the service this host knows.
func (d *Daemon) CountTargets(service string) int {
	n := 0
	for _, r := range d.targets.All() {
		if r.Service == service && r.Live() {
			n++
		}
	}
	return n
}

func (d *Daemon) healthy() bool {
	if d.proxy != nil {
		return d.acceptsRequests()
	}
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	if d.follower != nil {
		return !leaving && d.follower.View() != nil
	}
	return d.control.Leader() != ""
}

// GuardReady reports whether this host's guard answers claims.
func (d *Daemon) GuardReady() bool {
	return d.coordinator != nil && d.coordinator.Status().Ready
}

// LimitFraction returns the fraction of an owner's limits that this host may use now.
func (d *Daemon) LimitFraction(owner, service string) float64 {
	return d.quota.Fraction(owner, service)
}
