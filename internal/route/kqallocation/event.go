package kqallocation

import "time"

const (
	// ReportEvery is how often a host reports its demand.
	ReportInterval = 250 * time.Millisecond

	tokenLifetime    = 3 * time.Second                      // a token proves a promise for so long
	promiseDuration  = tokenLifetime + 100*time.Millisecond // a host asks no other allocator for so long
	maxLeaseDuration = tokenLifetime                        // the longest loan
	leaseMargin      = 50 * time.Millisecond                // a host stops using a loan so much before its end

	leasedTotal    = 0.90 // of each limit, lent by the allocator
	fixedTotal     = 0.05 // of each limit, divided evenly without an allocator
	demandHeadroom = 1.3  // demand is granted so much more than it shows
)

// Key names one owner's limits on one service.
type Key struct {
	Owner   string `json:"o"`
	Service string `json:"s"`
}

// Demand is what one host needs and uses of a limit, as parts of the whole.
type Demand struct {
	Key   Key     `json:"k"`
	Want  float64 `json:"w"`
	InUse float64 `json:"u"` // calls in progress, which outlive a loan
}

// Report goes from a host to the allocator that it backs.
type Report struct {
	From    string   `json:"from"`
	Epoch   uint64   `json:"epoch"`
	Token   uint64   `json:"token"` // newest token that this allocator gave
	Demands []Demand `json:"demands,omitempty"`
}

// Loan answers a report: shares that may be used until TTL after the report
// was sent.
type Lease struct {
	Token  uint64        `json:"token"`
	TTL    time.Duration `json:"ttl"` // 0: nothing is lent
	Shares []Share       `json:"shares,omitempty"`
}

// Share is the part of a limit that one host may use.
type Share struct {
	Key      Key     `json:"k"`
	Fraction float64 `json:"p"`
}

// Event is an input of the Allot.
type Event interface{ allocationEvent() }

// Listed brings the host list in force.
type HostsChanged struct {
	Epoch uint64
	Hosts []string
}

// Tick passes time and tells which hosts are reachable and what is needed here.
type Tick struct {
	Reachable map[string]bool
	Demands   []Demand
}

// Reported is a report for this host as allocator.
type ReportReceived struct{ Report Report }

// Lent answers the report that was sent to a host at the time.
type LeaseReceived struct {
	From  string
	Sent  time.Time
	Lease Lease
}

func (HostsChanged) allocationEvent()   {}
func (Tick) allocationEvent()           {}
func (ReportReceived) allocationEvent() {}
func (LeaseReceived) allocationEvent()  {}

// Effect is an output of the Allot.
type Effect interface{ allocationEffect() }

// Send sends a report to the allocator.
type SendReport struct {
	To     string
	Report Report
}

// Reply answers a Reported.
type Reply struct{ Lease Lease }

// Again asks for one more tick at once: a new allocator lends only to a host
// that has echoed a token.
type TickNow struct{}

// Changed says that the shares usable here may have changed.
type SharesChanged struct{}

func (SendReport) allocationEffect()    {}
func (Reply) allocationEffect()         {}
func (SharesChanged) allocationEffect() {}
func (TickNow) allocationEffect()       {}
