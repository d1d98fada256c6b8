package kqselection

import "time"

const (
	windowParts  = 10              // parts into which the window is divided
	countedParts = windowParts + 1 // including the oldest part, which is only partly in the window
)

// RetryBudget limits the retries to a service in every window to a share of its
// requests plus a slack that all hosts share.
type RetryBudget struct {
	Ratio  float64       // retries for each request
	Slack  float64       // retries of all hosts together in one window
	Window time.Duration // over which requests and retries are counted

	hosts       int       // that share the slack: the maximum over the last window
	hostsSince  time.Time // when hosts was last set
	startedAt   time.Time
	currentPart int64 // number of the part to which new events count
	requests    [countedParts]float64
	retries     [countedParts]float64
}

// advance clears the parts that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	part := int64(now.Sub(b.startedAt) / (b.Window / windowParts))
	for n := 0; b.currentPart < part; n++ {
		b.currentPart++
		b.requests[b.currentPart%countedParts], b.retries[b.currentPart%countedParts] = 0, 0
		if n >= countedParts {
			b.currentPart = part
		}
	}
}

// Request counts one request for the service.
func (b *RetryBudget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.currentPart%countedParts]++
}

// updateHosts sets the number of hosts that share the slack. The number falls only
// after a whole window, because retries of hosts that have stopped still count in it.
func (b *RetryBudget) updateHosts(now time.Time, hosts int) {
	if hosts >= b.hosts || now.Sub(b.hostsSince) > b.Window {
		b.hosts, b.hostsSince = hosts, now
	}
}

// Take counts a retry if the window allows it and reports whether it does; hosts is the
// number of hosts that share the slack. A host uses no slack in the first window after
// its start, because the retries that it made before a restart are not known.
func (b *RetryBudget) Take(now time.Time, hosts int) bool {
	b.advance(now)
	requests, retries := 0.0, 0.0
	for i := range int64(countedParts) {
		retries += b.retries[i]
		if i != (b.currentPart+1)%countedParts { // the requests of the oldest part have partly left the window
			requests += b.requests[i]
		}
	}
	b.updateHosts(now, hosts)
	slack := 0.0
	if now.Sub(b.startedAt) >= b.Window {
		slack = b.Slack / float64(max(b.hosts, 1))
	}
	if retries+1 > b.Ratio*requests+slack {
		return false
	}
	b.retries[b.currentPart%countedParts]++
	return true
}
