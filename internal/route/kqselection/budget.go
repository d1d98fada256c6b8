package kqselection

import "time"

const (
	windowParts  = 10              // parts of a budget's window
	countedParts = windowParts + 1 // with the one that has partly left it
)

// Budget bounds second sends to a service to a share of its requests in every
// window, and a slack that all hosts have together.
type RetryBudget struct {
	Ratio  float64       // second sends for each request
	Slack  float64       // second sends of all hosts together in one window
	Window time.Duration // over which is counted

	hosts       int       // that share the slack: the most in the last window
	hostsSince  time.Time // when they were so many
	startedAt   time.Time
	currentPart int64 // part of the window that is counted now
	requests    [countedParts]float64
	retries     [countedParts]float64
}

// advance forgets the parts that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	at := int64(now.Sub(b.startedAt) / (b.Window / windowParts))
	for n := 0; b.currentPart < at; n++ {
		b.currentPart++
		b.requests[b.currentPart%countedParts], b.retries[b.currentPart%countedParts] = 0, 0
		if n >= countedParts {
			b.currentPart = at
		}
	}
}

// Request counts one request for the service.
func (b *RetryBudget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.currentPart%countedParts]++
}

// share takes the number of hosts that share the slack. What hosts that ended
// have spent counts on for a window.
func (b *RetryBudget) updateHosts(now time.Time, hosts int) {
	if hosts >= b.hosts || now.Sub(b.hostsSince) > b.Window {
		b.hosts, b.hostsSince = hosts, now
	}
}

// Take counts a second send if the window allows it; hosts is how many share
// the slack. A host that has just started spends none of it: what it spent
// before the start is not known.
func (b *RetryBudget) Take(now time.Time, hosts int) bool {
	b.advance(now)
	requests, seconds := 0.0, 0.0
	for i := range int64(countedParts) {
		seconds += b.retries[i]
		if i != (b.currentPart+1)%countedParts { // the oldest part has partly left the window
			requests += b.requests[i]
		}
	}
	b.updateHosts(now, hosts)
	slack := 0.0
	if now.Sub(b.startedAt) >= b.Window {
		slack = b.Slack / float64(max(b.hosts, 1))
	}
	if seconds+1 > b.Ratio*requests+slack {
		return false
	}
	b.retries[b.currentPart%countedParts]++
	return true
}
