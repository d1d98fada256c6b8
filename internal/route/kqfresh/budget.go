package kqfresh

import "time"

const (
	windowParts = 10              // parts of a budget's window
	budgetParts = windowParts + 1 // with the one that has partly left it
)

// Budget bounds second sends to a service to a share of its requests in every
// window, and a slack that all hosts have together.
type Budget struct {
	Ratio  float64       // second sends for each request
	Slack  float64       // second sends of all hosts together in one window
	Window time.Duration // over which is counted

	hosts    int       // that share the slack: the most in the last window
	hostsAt  time.Time // when they were so many
	began    time.Time
	at       int64 // part of the window that is counted now
	requests [budgetParts]float64
	seconds  [budgetParts]float64
}

// advance forgets the parts that have left the window.
func (b *Budget) advance(now time.Time) {
	if b.began.IsZero() {
		b.began = now
	}
	at := int64(now.Sub(b.began) / (b.Window / windowParts))
	for n := 0; b.at < at; n++ {
		b.at++
		b.requests[b.at%budgetParts], b.seconds[b.at%budgetParts] = 0, 0
		if n >= budgetParts {
			b.at = at
		}
	}
}

// Request counts one request for the service.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.at%budgetParts]++
}

// share takes the number of hosts that share the slack. What hosts that ended
// have spent counts on for a window.
func (b *Budget) share(now time.Time, hosts int) {
	if hosts >= b.hosts || now.Sub(b.hostsAt) > b.Window {
		b.hosts, b.hostsAt = hosts, now
	}
}

// Take counts a second send if the window allows it; hosts is how many share
// the slack. A host that has just started spends none of it: what it spent
// before the start is not known.
func (b *Budget) Take(now time.Time, hosts int) bool {
	b.advance(now)
	requests, seconds := 0.0, 0.0
	for i := range int64(budgetParts) {
		seconds += b.seconds[i]
		if i != (b.at+1)%budgetParts { // the oldest part has partly left the window
			requests += b.requests[i]
		}
	}
	b.share(now, hosts)
	slack := 0.0
	if now.Sub(b.began) >= b.Window {
		slack = b.Slack / float64(max(b.hosts, 1))
	}
	if seconds+1 > b.Ratio*requests+slack {
		return false
	}
	b.seconds[b.at%budgetParts]++
	return true
}
