package kqallocation

import "time"

const (
	// ReportInterval is the time between two demand reports of a host.
	ReportInterval = 250 * time.Millisecond

	tokenLifetime    = 3 * time.Second                      // how long an echoed token proves the promise
	promiseDuration  = tokenLifetime + 100*time.Millisecond // outlasts the proof, so that the allocator stops first
	maxLeaseDuration = tokenLifetime                        // leases never outlast the proof of the promises
	leaseMargin      = 50 * time.Millisecond                // a host stops using a lease this long before its end

	leasedTotal    = 0.90 // fraction of each limit that the allocator leases
	fixedTotal     = 0.05 // fraction of each limit that is divided evenly without an allocator
	demandHeadroom = 1.3  // factor by which a lease may exceed the reported demand
)

// Key identifies one owner's limits on one service.
type Key struct {
	Owner   string `json:"o"`
	Service string `json:"s"`
}

// Demand is how much of a limit one host needs and uses, as fractions of the
// whole limit.
type Demand struct {
	Key   Key     `json:"k"`
	Want  float64 `json:"w"`
	InUse float64 `json:"u"` // calls in flight, which may outlast a lease
}

// Report is a host's demand, sent to the allocator. It promises to report to no
// other allocator for promiseDuration.
type Report struct {
	From    string   `json:"from"`
	Epoch   uint64   `json:"epoch"`
	Token   uint64   `json:"token"` // newest token received from this allocator, 0 if none
	Demands []Demand `json:"demands,omitempty"`
}

// Lease is the reply to a report: shares that may be used for TTL from the time
// at which the report was sent.
type Lease struct {
	Token  uint64        `json:"token"`
	TTL    time.Duration `json:"ttl"` // 0: no shares are leased
	Shares []Share       `json:"shares,omitempty"`
}

// Share is the fraction of a limit that one host may use.
type Share struct {
	Key      Key     `json:"k"`
	Fraction float64 `json:"p"`
}

// Event is an input of the Reducer.
type Event interface{ allocationEvent() }

// HostsChanged carries the entry host list in force. Lists with an Epoch that is
// not newer are ignored.
type HostsChanged struct {
	Epoch uint64
	Hosts []string
}

// Tick carries the reachable hosts and this host's demands at the current time.
type Tick struct {
	Reachable map[string]bool
	Demands   []Demand
}

// ReportReceived is a report to this host in its role as allocator.
type ReportReceived struct{ Report Report }

// LeaseReceived is the allocator's reply to the report sent at Sent.
type LeaseReceived struct {
	From  string
	Sent  time.Time
	Lease Lease
}

func (HostsChanged) allocationEvent()   {}
func (Tick) allocationEvent()           {}
func (ReportReceived) allocationEvent() {}
func (LeaseReceived) allocationEvent()  {}

// Effect is an output of the Reducer.
type Effect interface{ allocationEffect() }

// SendReport requests that a report be sent to the allocator.
type SendReport struct {
	To     string
	Report Report
}

// Reply is the answer to a ReportReceived.
type Reply struct{ Lease Lease }

// TickNow requests another tick at once. A new allocator grants leases only after
// a majority of hosts has echoed a token, so the first token is echoed without
// waiting for the next interval.
type TickNow struct{}

// SharesChanged says that the fractions this host may use may have changed.
type SharesChanged struct{}

func (SendReport) allocationEffect()    {}
func (Reply) allocationEffect()         {}
func (SharesChanged) allocationEffect() {}
func (TickNow) allocationEffect()       {}
