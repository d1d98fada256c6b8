package kqdaemon

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatglade/internal/state/kqfeed"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

const (
	// absentAfter is how long an entry host whose link broke stays in the
	// directory's answers: long enough for a link that is made anew.
	absentAfter = 700 * time.Millisecond

	// directoryHold is how long callers keep an answer of the directory: some
	// keep it three times as long, which must fit into a planned stop.
	directoryHold = time.Second

	// settleTime is for entry hosts to find a control host that has just
	// started: before, its answers would send all callers to a few.
	settleTime = 1500 * time.Millisecond
)

// present is an entry host as it told this control host.
type present struct {
	kqfeed.Presence
	lost time.Time // when its link broke, zero: it is linked
}

// takePresence notes what an entry host says of itself.
func (d *Daemon) takePresence(peer string, body json.RawMessage) error {
	var p kqfeed.Presence
	if err := json.Unmarshal(body, &p); err != nil {
		return errors.Wrapf(err, "presence of %s", peer)
	}
	d.mu.Lock()
	d.presence[peer] = present{Presence: p}
	d.mu.Unlock()
	d.log.Infof("entry host %s at %s: ready %v", peer, p.Host.Calls, p.Ready)
	return nil
}

// linkedSeeded keeps the presence of entry hosts by their links.
func (d *Daemon) linkedSeeded(peer string, up bool) {
	d.log.Infof("link to %s: up %v", peer, up)
	if d.passer != nil && up {
		d.tellPresenceTo(peer)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.presence[peer]; ok && !up {
		p.lost = time.Now()
		d.presence[peer] = p
	}
}

// tellPresence tells all linked control hosts whether callers may come here.
func (d *Daemon) tellPresence() {
	for _, n := range d.found() {
		d.tellPresenceTo(n.Host)
	}
}

func (d *Daemon) tellPresenceTo(peer string) {
	d.mesh.Send(peer, kqfeed.MethodPresence, kqfeed.Presence{Host: d.self(), Ready: d.takes()})
}

// takes reports whether this entry host takes requests.
func (d *Daemon) takes() bool {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	return !leaving && d.passer.Ready()
}

// entriesNow returns the entry hosts that take callers now.
func (d *Daemon) entriesNow() []kqfeed.Presence {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []kqfeed.Presence
	for host, p := range d.presence {
		if !p.lost.IsZero() && time.Since(p.lost) > absentAfter {
			delete(d.presence, host)
			continue
		}
		if p.Ready {
			list = append(list, p.Presence)
		}
	}
	return list
}

func (d *Daemon) countEntries() int { return len(d.entriesNow()) }

// entriesFor answers the directory's question: entry hosts of the caller's
// failure domain stand first where not all fit.
func (d *Daemon) entriesFor(domain string, most int) ([]string, time.Duration) {
	if time.Since(d.began) < settleTime {
		return nil, 0
	}
	list := d.entriesNow()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > most {
		slices.SortStableFunc(list, func(a, b kqfeed.Presence) int { return far(a, domain) - far(b, domain) })
		list = list[:most]
	}
	addrs := make([]string, len(list))
	for i, p := range list {
		addrs[i] = p.Host.Calls
	}
	return addrs, directoryHold
}

func far(p kqfeed.Presence, domain string) int {
	if p.Host.Domain == domain {
		return 0
	}
	return 1
}

// learn takes the control hosts that a hub told of.
func (d *Daemon) learn(list []kqfeed.Neighbour) {
	d.mu.Lock()
	old := d.learned
	d.learned = list
	d.mu.Unlock()
	if slices.Equal(old, list) {
		return
	}
	d.log.Infof("control hosts are %v", list)
	for _, o := range old {
		if !slices.ContainsFunc(d.found(), func(n kqfeed.Neighbour) bool { return n.Host == o.Host }) {
			d.mesh.Hangup(o.Host)
		}
	}
	d.dialPeers()
}

// found returns the control hosts known by seeds, by the member list, or told
// by a hub.
func (d *Daemon) found() []kqfeed.Neighbour {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(d.learned)
	for _, m := range d.members {
		if !slices.ContainsFunc(list, func(n kqfeed.Neighbour) bool { return n.Host == m.Host }) {
			list = append(list, kqfeed.Neighbour{Host: m.Host, Domain: m.Domain, Peers: m.Peers})
		}
	}
	for _, ip := range d.seeds {
		if !slices.ContainsFunc(list, func(n kqfeed.Neighbour) bool { return n.Host == ip }) {
			list = append(list, kqfeed.Neighbour{Host: ip, Peers: d.peersAddr(ip)})
		}
	}
	return list
}

// tellControls tells the entry hosts that follow this host of the members.
func (d *Daemon) tellControls(members []kqreplica.Member) {
	list := make([]kqfeed.Neighbour, 0, len(members))
	for _, m := range members {
		list = append(list, kqfeed.Neighbour{Host: m.Host, Domain: m.Domain, Peers: m.Peers})
	}
	d.hub.SetControls(list)
}
