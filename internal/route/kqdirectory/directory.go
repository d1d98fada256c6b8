package kqdirectory

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Renew is how often a target announces itself.
	RenewInterval = time.Second

	leaseDuration  = 4 * time.Second  // without an announcement a target is gone
	goneRetention  = 60 * time.Second // late messages of a gone target are refused so long
	digestInterval = 30 * time.Second // between two comparisons of held records
	maxRecords     = 65536            // records held at most
)

// Event is an input of the Directory.
type Event interface{ directoryEvent() }

// Announced is an announcement that a target made on this host.
type Announced struct{ Record Record }

// Learned is what another entry host spread.
type RecordsReceived struct{ Records []Record }

// Digested is a peer's digest of the records that it holds.
type DigestReceived struct {
	Peer   string
	Digest string
}

// Asked is a peer that wants all records that this host holds.
type RecordsRequested struct{ Peer string }

// Linked is an entry host whose link came up or broke.
type LinkChanged struct {
	Peer string
	Up   bool
}

// Tick passes time.
type Tick struct{}

func (Announced) directoryEvent()        {}
func (RecordsReceived) directoryEvent()  {}
func (DigestReceived) directoryEvent()   {}
func (RecordsRequested) directoryEvent() {}
func (LinkChanged) directoryEvent()      {}
func (Tick) directoryEvent()             {}

// Effect is an output of the Directory.
type Effect interface{ directoryEffect() }

// Spread sends records to all entry hosts.
type BroadcastRecords struct{ Records []Record }

// Give sends records to one entry host.
type SendRecords struct {
	Peer    string
	Records []Record
}

// Compare sends the digest of the held records to all entry hosts.
type BroadcastDigest struct{ Digest string }

// Ask requests all records that a peer holds.
type RequestRecords struct{ Peer string }

// Updated says that the facts of a target changed here.
type Updated struct{ Record Record }

// Loaded says that a target reported its load here.
type LoadReported struct{ Record Record }

// Refused says that an announcement is older than what is known.
type Refused struct{ Record Record }

func (BroadcastRecords) directoryEffect() {}
func (SendRecords) directoryEffect()      {}
func (BroadcastDigest) directoryEffect()  {}
func (RequestRecords) directoryEffect()   {}
func (Updated) directoryEffect()          {}
func (LoadReported) directoryEffect()     {}
func (Refused) directoryEffect()          {}

// entry is a record with the time of its last news.
type entry struct {
	Record
	updatedAt time.Time
}

// Directory is the reducer of all targets known to one entry host.
type Directory struct {
	host          string
	entries       map[Key]*entry
	unlinkedSince map[string]time.Time // entry hosts without a link, since when
	digestSentAt  time.Time
	effects       []Effect
}

// New returns an empty Directory of the host.
func New(host string) *Directory {
	return &Directory{host: host, entries: map[Key]*entry{}, unlinkedSince: map[string]time.Time{}}
}

// Reduce handles one event.
func (d *Directory) Reduce(now time.Time, ev Event) []Effect {
	d.effects = nil
	switch ev := ev.(type) {
	case Announced:
		d.announced(now, ev.Record)
	case RecordsReceived:
		d.recordsReceived(now, ev.Records)
	case DigestReceived:
		if ev.Digest != d.digest(ev.Peer) {
			d.emit(RequestRecords{ev.Peer})
		}
	case RecordsRequested:
		d.emit(SendRecords{ev.Peer, d.recordsHeldBy(d.host)})
	case LinkChanged:
		d.linkChanged(now, ev)
	case Tick:
		d.tick(now)
	}
	return d.effects
}

func (d *Directory) emit(e Effect) {
	d.effects = append(d.effects, e)
}

func (d *Directory) announced(now time.Time, r Record) {
	r.Holder, r.Expired = d.host, false
	old := d.entries[r.Key()]
	if old == nil && len(d.entries) >= maxRecords {
		d.emit(Refused{r})
		return
	}
	if old != nil && !r.newer(old.Record) {
		d.emit(Refused{old.Record})
		return
	}
	d.entries[r.Key()] = &entry{r, now}
	if old == nil || !r.equalButRenewal(old.Record) {
		d.emit(BroadcastRecords{[]Record{r}})
		d.emit(Updated{r})
	}
	d.emit(LoadReported{r})
}

func (d *Directory) recordsReceived(now time.Time, list []Record) {
	for _, r := range list {
		old := d.entries[r.Key()]
		if old != nil && !r.newer(old.Record) {
			d.correctExpiry(r, old.Record)
			continue
		}
		if old == nil && len(d.entries) >= maxRecords {
			continue
		}
		d.entries[r.Key()] = &entry{r, now}
		if old == nil || !r.equalButRenewal(old.Record) {
			d.emit(Updated{r})
		}
	}
}

// correct answers an expiry that a newer announcement here has overtaken.
func (d *Directory) correctExpiry(r, known Record) {
	if r.Expired && known.newer(r) && known.Holder == d.host && !known.Expired {
		d.emit(BroadcastRecords{[]Record{known}})
	}
}

func (d *Directory) linkChanged(now time.Time, ev LinkChanged) {
	if ev.Up {
		delete(d.unlinkedSince, ev.Peer)
		d.emit(SendRecords{ev.Peer, d.recordsHeldBy(d.host)})
		return
	}
	d.unlinkedSince[ev.Peer] = now
}

func (d *Directory) tick(now time.Time) {
	for key, e := range d.entries {
		d.tickEntry(now, key, e)
	}
	if now.Sub(d.digestSentAt) >= digestInterval {
		d.digestSentAt = now
		d.emit(BroadcastDigest{d.digest(d.host)})
	}
}

func (d *Directory) tickEntry(now time.Time, key Key, e *entry) {
	if !e.Live() {
		if now.Sub(e.updatedAt) >= goneRetention {
			delete(d.entries, key)
		}
		return
	}
	since := e.updatedAt
	if e.Holder != d.host {
		lost, ok := d.unlinkedSince[e.Holder]
		if !ok {
			return
		}
		if lost.After(since) {
			since = lost
		}
	}
	if now.Sub(since) < leaseDuration {
		return
	}
	e.Expired, e.updatedAt = true, now
	if e.Holder == d.host {
		d.emit(BroadcastRecords{[]Record{e.Record}})
	}
	d.emit(Updated{e.Record})
}

// held returns the records whose lease the host holds, in a fixed order.
func (d *Directory) recordsHeldBy(host string) []Record {
	list := []Record{}
	for _, e := range d.entries {
		if e.Holder == host {
			list = append(list, e.Record)
		}
	}
	sortRecords(list)
	return list
}

func sortRecords(list []Record) {
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
}

// digest is equal on two hosts that know the same facts of the host's targets.
func (d *Directory) digest(host string) string {
	h := xxhash.New()
	for _, r := range d.recordsHeldBy(host) {
		if r.Live() {
			fmt.Fprintln(h, r.Service, r.ID, r.Addr, r.Domain, r.Slots, r.Connections, r.State, r.Epoch)
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// All returns every record, in a fixed order.
func (d *Directory) All() []Record {
	list := make([]Record, 0, len(d.entries))
	for _, e := range d.entries {
		list = append(list, e.Record)
	}
	sortRecords(list)
	return list
}
