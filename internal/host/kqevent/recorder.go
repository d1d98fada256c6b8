package kqevent

import (
	"sync"
	"time"
)

// KeptEvents bounds the events in memory of one host, at about 200 bytes each.
const MaxEvents = 16384

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

// Clock returns the hybrid clock that stamps the events.
func (r *Recorder) Clock() *Clock {
	return r.clock
}

// Add stamps the event and keeps it.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Next()
	e.Host = r.host
	r.count++
	r.events.push(e)
}

// Since returns the kept events after the stamp, oldest first, and how many
// were recorded in all.
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
