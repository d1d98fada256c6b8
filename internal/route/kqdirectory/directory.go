package kqdirectory

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RenewInterval is the time between two announcements of a target.
	RenewInterval = time.Second

	// A target expires this long after its last announcement to this host. If
	// another entry host holds its lease, it expires this long after the link to
	// that host broke.
	leaseDuration = 4 * time.Second

	goneRetention  = 60 * time.Second // how long gone and expired records are kept, to reject late messages
	digestInterval = 30 * time.Second // between two broadcasts of the digest
	maxRecords     = 65536            // upper bound of known records
)

// Event is an input of the Directory.
type Event interface{ directoryEvent() }

// Announced is an announcement that a target sent to this host.
type Announced struct{ Record Record }

// RecordsReceived carries records that another entry host sent.
type RecordsReceived struct{ Records []Record }

// DigestReceived carries a peer's digest of the records whose leases it holds.
type DigestReceived struct {
	Peer   string
	Digest string
}

// RecordsRequested is a peer's request for all records whose leases this host
// holds.
type RecordsRequested struct{ Peer string }

// LinkChanged says that the link to an entry host came up or broke.
type LinkChanged struct {
	Peer string
	Up   bool
}

// Tick lets the Directory expire records and send its digest when they are due.
type Tick struct{}

func (Announced) directoryEvent()        {}
func (RecordsReceived) directoryEvent()  {}
func (DigestReceived) directoryEvent()   {}
func (RecordsRequested) directoryEvent() {}
func (LinkChanged) directoryEvent()      {}
func (Tick) directoryEvent()             {}

// Effect is an output of the Directory.
type Effect interface{ directoryEffect() }

// BroadcastRecords requests that records be sent to all other entry hosts.
type BroadcastRecords struct{ Records []Record }

// SendRecords requests that records be sent to one entry host.
type SendRecords struct {
	Peer    string
	Records []Record
}

// BroadcastDigest requests that the digest of the records held by this host be
// sent to all other entry hosts.
type BroadcastDigest struct{ Digest string }

// RequestRecords requests that a peer be asked for all records that it holds.
type RequestRecords struct{ Peer string }

// Updated says that a target's record is new or changed in more than its load and
// sequence number.
type Updated struct{ Record Record }

// LoadReported says that a target announced its load to this host.
type LoadReported struct{ Record Record }

// Refused says that an announcement was rejected, because the known record is at
// least as new or because the directory is full. Record is the known record, or
// the rejected one if the directory is full.
type Refused struct{ Record Record }

func (BroadcastRecords) directoryEffect() {}
func (SendRecords) directoryEffect()      {}
func (BroadcastDigest) directoryEffect()  {}
func (RequestRecords) directoryEffect()   {}
func (Updated) directoryEffect()          {}
func (LoadReported) directoryEffect()     {}
func (Refused) directoryEffect()          {}

// entry is a record with the time of its last announcement, message or expiry.
type entry struct {
	Record
	updatedAt time.Time
}

// Directory is the reducer of the target records known to one entry host.
type Directory struct {
	host          string
	entries       map[Key]*entry
	unlinkedSince map[string]time.Time // when the link broke, by entry host; linked hosts are absent
	digestSentAt  time.Time
	effects       []Effect
}

// New returns the empty Directory of the named entry host.
func New(host string) *Directory {
	return &Directory{host: host, entries: map[Key]*entry{}, unlinkedSince: map[string]time.Time{}}
}

// Reduce applies one event and returns the effects to carry out, in order.
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

// correctExpiry broadcasts the known record again when a peer reports as expired
// a target that has since announced itself to this host.
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
		unlinked, ok := d.unlinkedSince[e.Holder]
		if !ok {
			return
		}
		if unlinked.After(since) {
			since = unlinked
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

// recordsHeldBy returns the records whose leases the host holds, sorted by service
// and ID.
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

// digest returns a hash of the live records that the host holds. It is equal on two
// hosts that know the same records, apart from loads and sequence numbers.
func (d *Directory) digest(host string) string {
	h := xxhash.New()
	for _, r := range d.recordsHeldBy(host) {
		if r.Live() {
			fmt.Fprintln(h, r.Service, r.ID, r.Addr, r.Domain, r.Slots, r.Connections, r.State, r.Epoch)
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// All returns every record, including gone and expired ones, sorted by service and
// ID.
func (d *Directory) All() []Record {
	list := make([]Record, 0, len(d.entries))
	for _, e := range d.entries {
		list = append(list, e.Record)
	}
	sortRecords(list)
	return list
}
