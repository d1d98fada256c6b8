package kqdaemon

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

const (
	// absentAfter is how long an entry host whose link broke stays in the
	// directory's answers: long enough for a link that is made anew.
	absentTimeout = 700 * time.Millisecond

	// directoryHold is how long callers keep an answer of the directory: some
	// keep it three times as long, which must fit into a planned stop.
	directoryTTL = time.Second

	// settleTime without a further entry host ends the start of a control host:
	// they come together, by links that are dialled at once.
	settleTime    = 250 * time.Millisecond
	maxSettleTime = 2 * time.Second // of a start at the most

	publishInterval = 50 * time.Millisecond // between two looks at who takes callers
)

// present is an entry host as it told this control host.
type entryPresence struct {
	kqfeed.Presence
	lostAt time.Time // when its link broke, zero: it is linked
}

// takePresence notes what an entry host says of itself.
func (d *Daemon) handlePresence(peer string, body json.RawMessage) error {
	var p kqfeed.Presence
	if err := json.Unmarshal(body, &p); err != nil {
		return errors.Wrapf(err, "presence of %s", peer)
	}
	d.mu.Lock()
	d.presence[peer] = entryPresence{Presence: p}
	d.lastPresence = time.Now()
	d.mu.Unlock()
	d.log.Infof("entry host %s at %s: ready %v", peer, p.Host.Calls, p.Ready)
	return nil
}

// linkedSeeded keeps the presence of entry hosts by their links.
func (d *Daemon) linkChangedSeeded(peer string, up bool) {
	d.log.Infof("link to %s: up %v", peer, up)
	if d.proxy != nil && up {
		d.sendPresence(peer)
		d.follower.LinkUp()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.presence[peer]; ok && !up {
		p.lostAt = time.Now()
		d.presence[peer] = p
	}
}

// tellPresence tells all linked control hosts whether callers may come here.
func (d *Daemon) sendPresenceToAll() {
	for _, n := range d.discoveredControls() {
		d.sendPresence(n.Host)
	}
}

func (d *Daemon) sendPresence(peer string) {
	d.mesh.Send(peer, kqfeed.MethodPresence, kqfeed.Presence{Host: d.self(), Ready: d.acceptsRequests()})
}

// takes reports whether this entry host takes requests.
func (d *Daemon) acceptsRequests() bool {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	return !leaving && d.proxy.Ready()
}

// openDoors returns the entry hosts that take callers now, and since when none
// has come to this control host.
func (d *Daemon) readyEntryHosts() (list []kqfeed.EntryListener, quiet time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host, p := range d.presence {
		if !p.lostAt.IsZero() && time.Since(p.lostAt) > absentTimeout {
			delete(d.presence, host)
			d.log.Infof("entry host %s is absent", p.Host.Calls)
			continue
		}
		if p.Ready {
			list = append(list, kqfeed.EntryListener{Addr: p.Host.Calls, Domain: p.Host.Domain})
		}
	}
	slices.SortFunc(list, func(a, b kqfeed.EntryListener) int { return strings.Compare(a.Addr, b.Addr) })
	return list, time.Since(d.lastPresence)
}

// watchDoors tells the followers which entry hosts take callers. After its own
// start a control host waits until no more of them come to it: told of a few,
// all callers would go there.
func (d *Daemon) publishEntryHosts() {
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	settled := false
	for {
		select {
		case <-d.stopped:
			return
		case <-tick.C:
		}
		list, quiet := d.readyEntryHosts()
		settled = settled || time.Since(d.started) > maxSettleTime || len(list) > 0 && quiet > settleTime
		if settled {
			d.hub.SetListeners(list)
		}
	}
}

func (d *Daemon) stopPublishing() {
	d.stopOnce.Do(func() { close(d.stopped) })
}

// doorsFor answers the directory's question: entry hosts of the caller's
// failure domain stand first where not all fit.
func (d *Daemon) directoryEntries(domain string, most int) ([]string, time.Duration) {
	var list []kqfeed.EntryListener
	if d.follower != nil {
		list = slices.Clone(d.follower.Listeners())
	} else {
		list = d.hub.Listeners()
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > most {
		slices.SortStableFunc(list, func(a, b kqfeed.EntryListener) int { return domainDistance(a, domain) - domainDistance(b, domain) })
		list = list[:most]
	}
	addrs := make([]string, len(list))
	for i, door := range list {
		addrs[i] = door.Addr
	}
	return addrs, directoryTTL
}

func domainDistance(door kqfeed.EntryListener, domain string) int {
	if door.Domain == domain {
		return 0
	}
	return 1
}

// learn takes the control hosts that a hub told of.
func (d *Daemon) setHubControls(list []kqfeed.ControlHost) {
	d.mu.Lock()
	old := d.hubControls
	d.hubControls = list
	d.mu.Unlock()
	if slices.Equal(old, list) {
		return
	}
	d.log.Infof("control hosts are %v", list)
	for _, o := range old {
		if !slices.ContainsFunc(d.discoveredControls(), func(n kqfeed.ControlHost) bool { return n.Host == o.Host }) {
			d.mesh.Hangup(o.Host)
		}
	}
	d.dialPeers()
}

// found returns the control hosts known by seeds, by the member list, or told
// by a hub.
func (d *Daemon) discoveredControls() []kqfeed.ControlHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(d.hubControls)
	for _, m := range d.members {
		if !slices.ContainsFunc(list, func(n kqfeed.ControlHost) bool { return n.Host == m.Host }) {
			list = append(list, kqfeed.ControlHost{Host: m.Host, Domain: m.Domain, Peers: m.Peers})
		}
	}
	for _, ip := range d.seeds {
		if !slices.ContainsFunc(list, func(n kqfeed.ControlHost) bool { return n.Host == ip }) {
			list = append(list, kqfeed.ControlHost{Host: ip, Peers: d.peersAddr(ip)})
		}
	}
	return list
}

// tellControls tells the entry hosts that follow this host of the members.
func (d *Daemon) publishControls(members []kqreplica.Member) {
	list := make([]kqfeed.ControlHost, 0, len(members))
	for _, m := range members {
		list = append(list, kqfeed.ControlHost{Host: m.Host, Domain: m.Domain, Peers: m.Peers})
	}
	d.hub.SetControls(list)
}
