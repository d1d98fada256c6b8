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
	Renew = time.Second

	leaseTime  = 4 * time.Second  // without an announcement a target is gone
	keepGone   = 60 * time.Second // late messages of a gone target are refused so long
	digestTime = 30 * time.Second // between two comparisons of held records
	maxRecords = 65536            // records held at most
)

// Event is an input of the Directory.
type Event interface{ directoryEvent() }

// Announced is an announcement that a target made on this host.
type Announced struct{ Record Record }

// Learned is what another entry host spread.
type Learned struct{ Records []Record }

// Digested is a peer's digest of the records that it holds.
type Digested struct {
	Peer   string
	Digest string
}

// Asked is a peer that wants all records that this host holds.
type Asked struct{ Peer string }

// Linked is an entry host whose link came up or broke.
type Linked struct {
	Peer string
	Up   bool
}

// Tick passes time.
type Tick struct{}

func (Announced) directoryEvent() {}
func (Learned) directoryEvent()   {}
func (Digested) directoryEvent()  {}
func (Asked) directoryEvent()     {}
func (Linked) directoryEvent()    {}
func (Tick) directoryEvent()      {}

// Effect is an output of the Directory.
type Effect interface{ directoryEffect() }

// Spread sends records to all entry hosts.
type Spread struct{ Records []Record }

// Give sends records to one entry host.
type Give struct {
	Peer    string
	Records []Record
}

// Compare sends the digest of the held records to all entry hosts.
type Compare struct{ Digest string }

// Ask requests all records that a peer holds.
type Ask struct{ Peer string }

// Updated says that the facts of a target changed here.
type Updated struct{ Record Record }

// Loaded says that a target reported its load here.
type Loaded struct{ Record Record }

// Refused says that an announcement is older than what is known.
type Refused struct{ Record Record }

func (Spread) directoryEffect()  {}
func (Give) directoryEffect()    {}
func (Compare) directoryEffect() {}
func (Ask) directoryEffect()     {}
func (Updated) directoryEffect() {}
func (Loaded) directoryEffect()  {}
func (Refused) directoryEffect() {}

// entry is a record with the time of its last news.
type entry struct {
	Record
	touched time.Time
}

// Directory is the reducer of all targets known to one entry host.
type Directory struct {
	host     string
	entries  map[Key]*entry
	lost     map[string]time.Time // entry hosts without a link, since when
	compared time.Time
	effects  []Effect
}

// New returns an empty Directory of the host.
func New(host string) *Directory {
	return &Directory{host: host, entries: map[Key]*entry{}, lost: map[string]time.Time{}}
}

// Reduce handles one event.
func (d *Directory) Reduce(now time.Time, ev Event) []Effect {
	d.effects = nil
	switch ev := ev.(type) {
	case Announced:
		d.announced(now, ev.Record)
	case Learned:
		d.learned(now, ev.Records)
	case Digested:
		if ev.Digest != d.digest(ev.Peer) {
			d.emit(Ask{ev.Peer})
		}
	case Asked:
		d.emit(Give{ev.Peer, d.held(d.host)})
	case Linked:
		d.linked(now, ev)
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
	if old == nil || !r.sameFacts(old.Record) {
		d.emit(Spread{[]Record{r}})
		d.emit(Updated{r})
	}
	d.emit(Loaded{r})
}

func (d *Directory) learned(now time.Time, list []Record) {
	for _, r := range list {
		old := d.entries[r.Key()]
		if old != nil && !r.newer(old.Record) {
			d.correct(r, old.Record)
			continue
		}
		if old == nil && len(d.entries) >= maxRecords {
			continue
		}
		d.entries[r.Key()] = &entry{r, now}
		if old == nil || !r.sameFacts(old.Record) {
			d.emit(Updated{r})
		}
	}
}

// correct answers an expiry that a newer announcement here has overtaken.
func (d *Directory) correct(r, known Record) {
	if r.Expired && known.newer(r) && known.Holder == d.host && !known.Expired {
		d.emit(Spread{[]Record{known}})
	}
}

func (d *Directory) linked(now time.Time, ev Linked) {
	if ev.Up {
		delete(d.lost, ev.Peer)
		d.emit(Give{ev.Peer, d.held(d.host)})
		return
	}
	d.lost[ev.Peer] = now
}

func (d *Directory) tick(now time.Time) {
	for key, e := range d.entries {
		d.tickEntry(now, key, e)
	}
	if now.Sub(d.compared) >= digestTime {
		d.compared = now
		d.emit(Compare{d.digest(d.host)})
	}
}

func (d *Directory) tickEntry(now time.Time, key Key, e *entry) {
	if !e.Live() {
		if now.Sub(e.touched) >= keepGone {
			delete(d.entries, key)
		}
		return
	}
	since := e.touched
	if e.Holder != d.host {
		lost, ok := d.lost[e.Holder]
		if !ok {
			return
		}
		if lost.After(since) {
			since = lost
		}
	}
	if now.Sub(since) < leaseTime {
		return
	}
	e.Expired, e.touched = true, now
	if e.Holder == d.host {
		d.emit(Spread{[]Record{e.Record}})
	}
	d.emit(Updated{e.Record})
}

// held returns the records whose lease the host holds, in a fixed order.
func (d *Directory) held(host string) []Record {
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
	for _, r := range d.held(host) {
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
