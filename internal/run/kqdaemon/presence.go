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
	// absentTimeout is how long an entry host whose link broke stays in the
	// directory's answers: long enough to re-establish the link.
	absentTimeout = 700 * time.Millisecond

	// directoryTTL is how long callers may cache an answer of the directory. Some
	// cache it three times as long, which must fit into a graceful shutdown.
	directoryTTL = time.Second

	// settleTime is how long after the last presence message a starting control host
	// publishes the entry hosts; they dial it at about the same time. It does not wait
	// any longer once settledShare of the linked ones accept requests.
	settleTime    = 250 * time.Millisecond
	settledShare  = 0.75
	maxSettleTime = 2 * time.Second // upper bound, counted from the start

	publishInterval = 50 * time.Millisecond // between updates of the list of ready entry hosts
)

// entryPresence is an entry host as it announced itself to this control host.
type entryPresence struct {
	kqfeed.Presence
	lostAt time.Time // when its link broke, zero while it is linked
}

// handlePresence records the announcement of an entry host.
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

// linkChangedSeeded announces this entry host over a new link, and records when the
// link of an entry host broke.
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

// sendPresenceToAll tells all linked control hosts whether this host accepts requests.
func (d *Daemon) sendPresenceToAll() {
	for _, n := range d.discoveredControls() {
		d.sendPresence(n.Host)
	}
}

func (d *Daemon) sendPresence(peer string) {
	d.mesh.Send(peer, kqfeed.MethodPresence, kqfeed.Presence{Host: d.self(), Ready: d.acceptsRequests()})
}

// acceptsRequests reports whether this entry host accepts requests.
func (d *Daemon) acceptsRequests() bool {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	return !leaving && d.proxy.Ready()
}

// readyEntryHosts returns the entry hosts that accept requests now, how many are linked,
// and the time since one last announced itself to this control host.
func (d *Daemon) readyEntryHosts() (list []kqfeed.EntryListener, linked int, sinceLast time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host, p := range d.presence {
		if !p.lostAt.IsZero() && time.Since(p.lostAt) > absentTimeout {
			delete(d.presence, host)
			d.log.Infof("entry host %s removed from the directory: no link", p.Host.Calls)
			continue
		}
		if p.Ready {
			list = append(list, kqfeed.EntryListener{Addr: p.Host.Calls, Domain: p.Host.Domain})
		}
	}
	slices.SortFunc(list, func(a, b kqfeed.EntryListener) int { return strings.Compare(a.Addr, b.Addr) })
	return list, len(d.presence), time.Since(d.lastPresence)
}

// publishEntryHosts keeps telling the followers which entry hosts accept requests.
// After its start a control host waits until no further entry hosts announce
// themselves: with an incomplete list all callers would use the few listed hosts.
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
		list, linked, sinceLast := d.readyEntryHosts()
		settled = settled || hasSettled(len(list), linked, sinceLast, time.Since(d.started))
		if settled {
			d.hub.SetListeners(list)
		}
	}
}

// hasSettled reports whether a control host that has just started may publish the ready
// ones of the linked entry hosts.
func hasSettled(ready, linked int, sinceLast, sinceStart time.Duration) bool {
	switch {
	case sinceStart > maxSettleTime:
		return true
	case ready == 0:
		return false
	}
	return sinceLast > settleTime || sinceStart > settleTime && float64(ready) >= settledShare*float64(linked)
}

func (d *Daemon) stopPublishing() {
	d.stopOnce.Do(func() { close(d.stopped) })
}

// directoryEntries returns at most limit addresses of ready entry hosts, preferring
// the caller's failure domain, and how long the caller may cache them.
func (d *Daemon) directoryEntries(domain string, limit int) ([]string, time.Duration) {
	var list []kqfeed.EntryListener
	if d.follower != nil {
		list = slices.Clone(d.follower.Listeners())
	} else {
		list = d.hub.Listeners()
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > limit {
		slices.SortStableFunc(list, func(a, b kqfeed.EntryListener) int { return domainDistance(a, domain) - domainDistance(b, domain) })
		list = list[:limit]
	}
	addrs := make([]string, len(list))
	for i, entry := range list {
		addrs[i] = entry.Addr
	}
	return addrs, directoryTTL
}

func domainDistance(entry kqfeed.EntryListener, domain string) int {
	if entry.Domain == domain {
		return 0
	}
	return 1
}

// setHubControls records the control hosts that a hub announced.
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

// discoveredControls returns the control hosts known from seeds, from the member
// list, or from a hub.
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

// publishControls sends the members to the entry hosts that follow this host.
func (d *Daemon) publishControls(members []kqreplica.Member) {
	list := make([]kqfeed.ControlHost, 0, len(members))
	for _, m := range members {
		list = append(list, kqfeed.ControlHost{Host: m.Host, Domain: m.Domain, Peers: m.Peers})
	}
	d.hub.SetControls(list)
}
