package kqlimitmodel

import (
	"math"
	"slices"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"
)

// way limits requests.
type way interface {
	// take calls decided, now or later.
	take(host, owner int, decided func(ok bool, wait time.Duration, t kqtokens.Token))
	restart(node int, d time.Duration)
	sent() int // messages so far; a request and its answer are one
}

// Sizes of the model, and its load.
const (
	entryHosts  = 128
	voterCount  = 5
	ownerCount  = 82
	largestRate = 118.0 // requests per second of the largest owner
	totalRate   = 370.0 // requests per second of all owners
	headroom    = 1.6   // limits as a multiple of the usual load
	surge       = 7.5   // load of the largest owner while it exceeds its limit, as a multiple
	tries       = 3     // of a caller that is refused

	warmUp     = 10 * time.Second
	faultTime  = 10 * time.Second
	afterFault = 10 * time.Second
	downTime   = time.Second // of hosts that are restarted
)

// Ways and Faults are the names that Play knows.
var (
	Ways   = []string{"shares", "counters", "fractions", "reports"}
	Faults = []string{"calm", "surge", "cut", "voter", "restart"}
)

// Result is what became of the requests of one play.
type Result struct {
	Requests int     // of owners within their limits
	Refused  int     // of them: refusals, of all tries
	Lost     int     // of them: requests that were refused at each try
	Excess   int     // requests sent in the worst window beyond the bound with overrun and slack, negative if fewer
	Used     float64 // share of the limit that the owner in excess used during its surge
	Messages float64 // per request that arrived at an entry host

	Wait time.Duration // 99th percentile of the time to a decision, of requests within their limits
}

// loads returns the usual load of each owner: a power law between largestRate and totalRate.
func loads() []float64 {
	sum := func(a float64) (s float64) {
		for i := range ownerCount {
			s += largestRate * math.Pow(float64(i+1), -a)
		}
		return s
	}
	low, high := 0.5, 3.0
	for range 60 {
		if mid := (low + high) / 2; sum(mid) > totalRate {
			low = mid
		} else {
			high = mid
		}
	}
	list := make([]float64, ownerCount)
	for i := range list {
		list[i] = largestRate * math.Pow(float64(i+1), -low)
	}
	return list
}

// play is one play of a way under a fault.
type play struct {
	w       *world
	way     way
	fault   string
	loads   []float64
	owners  []kqroutes.Owner
	began   time.Time
	arrived int
	sends   [][]time.Time // by owner
	waits   []time.Duration
	result  Result
}

// Play returns the result of the way under the fault. burst is the burst of each owner in
// seconds of its rate.
func Play(wayName, fault string, burst float64, seed uint64) Result {
	p := &play{w: newWorld(entryHosts+voterCount, seed), fault: fault, loads: loads(), sends: make([][]time.Time, ownerCount)}
	for i, l := range p.loads {
		p.owners = append(p.owners, kqroutes.Owner{Name: name(i), Rate: l * headroom, Burst: l * headroom * burst})
	}
	params := kqtokens.NewParams(0, 0, 0)
	switch wayName {
	case "shares":
		p.way = newShares(p.w, params, entryHosts, voterCount, p.owners)
	case "counters":
		p.way = newCounters(p.w, entryHosts, voterCount, p.owners)
	case "fractions":
		p.way = newFractions(p.w, entryHosts, p.owners)
	default:
		p.way = newReports(p.w, params, entryHosts, p.owners)
	}
	p.began = p.w.now
	for o := range p.owners {
		p.arrive(o)
	}
	p.w.after(warmUp, p.begin)
	p.w.run(p.began.Add(warmUp + faultTime + afterFault))
	p.measure(params)
	return p.result
}

// begin makes the fault happen.
func (p *play) begin() {
	switch p.fault {
	case "cut":
		end := p.w.now.Add(faultTime)
		p.w.cut = func(a, b int) bool { return p.w.now.Before(end) && (isCut(a) || isCut(b)) }
	case "voter":
		p.way.restart(entryHosts, faultTime)
	case "restart":
		for n := range p.w.nodes {
			p.way.restart(n, downTime)
		}
	}
}

// isCut reports whether the host is one of the fifth that is cut off.
func isCut(n int) bool { return n < entryHosts && n%5 == 0 }

func (p *play) inFault() bool {
	d := p.w.now.Sub(p.began)
	return d >= warmUp && d < warmUp+faultTime
}

func (p *play) surges(o int) bool { return p.fault == "surge" && o == 0 && p.inFault() }

// arrive plans the next request of the owner.
func (p *play) arrive(o int) {
	rate := p.loads[o]
	if p.surges(o) {
		rate *= surge
	}
	p.w.after(time.Duration(p.w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		within := !p.surges(o)
		if within {
			p.result.Requests++
		}
		p.try(o, tries, within)
		p.arrive(o)
	})
}

func (p *play) try(o, left int, within bool) {
	h := p.w.rng.IntN(entryHosts)
	if p.w.nodes[h].down {
		p.w.after(100*time.Millisecond, func() { p.try(o, left, within) })
		return
	}
	p.arrived++
	began := p.w.now
	p.way.take(h, o, func(ok bool, wait time.Duration, _ kqtokens.Token) {
		if within {
			p.waits = append(p.waits, p.w.now.Sub(began))
		}
		if ok {
			p.sends[o] = append(p.sends[o], p.w.now)
			return
		}
		if within {
			p.result.Refused++
		}
		if left > 1 {
			p.w.after(wait, func() { p.try(o, left-1, within) })
		} else if within {
			p.result.Lost++
		}
	})
}

func (p *play) measure(params kqtokens.Params) {
	p.result.Excess = math.MinInt
	for o, list := range p.sends {
		bound := (p.owners[o].Rate*params.Window.Seconds()+p.owners[o].Burst)*(1+params.Overrun) + params.Slack
		p.result.Excess = max(p.result.Excess, worstWindow(list, params.Window)-int(bound))
	}
	used := 0
	for _, t := range p.sends[0] {
		if d := t.Sub(p.began); d >= warmUp && d < warmUp+faultTime {
			used++
		}
	}
	p.result.Used = float64(used) / (p.owners[0].Rate*faultTime.Seconds() + p.owners[0].Burst)
	slices.Sort(p.waits)
	p.result.Wait = p.waits[len(p.waits)*99/100]
	p.result.Messages = float64(p.way.sent()) / float64(max(p.arrived, 1))
}

// worstWindow returns the largest number of times in any window; the list is in order.
func worstWindow(list []time.Time, window time.Duration) int {
	worst, first := 0, 0
	for i, t := range list {
		for t.Sub(list[first]) > window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}
