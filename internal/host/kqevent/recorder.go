package kqevent

import (
	"strings"
	"sync"
	"time"
)

// MaxEvents is the number of events that a host keeps in memory, at about 200
// bytes each.
const MaxEvents = 16384

// maxText is the length in bytes to which the texts of an event are cut: that of the longest
// call ID. Some come from callers and targets, which may send far more.
const maxText = 256

// Event is one thing that happened on a host.
type Event struct {
	Time             Timestamp `json:"time"`
	Host             string    `json:"host"`
	Component        string    `json:"part"`
	Kind             string    `json:"kind"`
	Call             string    `json:"call,omitempty"`
	ContractRevision uint64    `json:"change,omitempty"` // revision of the contracts
	Peer             string    `json:"peer,omitempty"`
	Owner            string    `json:"owner,omitempty"`
	Service          string    `json:"service,omitempty"`
	Target           string    `json:"target,omitempty"`
	Text             string    `json:"text,omitempty"`
}

// Recorder keeps the newest events of a host and is safe for concurrent use.
type Recorder struct {
	host   string
	clock  *Clock
	mu     sync.Mutex
	events *ring[Event]
	count  uint64
}

// NewRecorder returns an empty Recorder; now is the wall clock.
func NewRecorder(host string, now func() time.Time) *Recorder {
	return &Recorder{host: host, clock: NewClock(now), events: newRing[Event](MaxEvents)}
}

// Clock returns the hybrid clock that timestamps the events.
func (r *Recorder) Clock() *Clock {
	return r.clock
}

// bound cuts the texts of the event, and copies them, since they may be part of a larger text that would be kept.
func (e *Event) bound() {
	for _, s := range []*string{&e.Call, &e.Peer, &e.Owner, &e.Service, &e.Target, &e.Text} {
		*s = strings.Clone((*s)[:min(len(*s), maxText)])
	}
}

// Add sets the time and host of the event, cuts its texts to 256 bytes and records it.
func (r *Recorder) Add(e Event) {
	e.bound()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Next()
	e.Host = r.host
	r.count++
	r.events.push(e)
}

// Since returns the kept events later than the timestamp, oldest first,
// and the number of events ever recorded.
func (r *Recorder) Since(s Timestamp) (list []Event, count uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list = []Event{}
	for _, e := range r.events.all() {
		if s.Less(e.Time) {
			list = append(list, e)
		}
	}
	return list, r.count
}
