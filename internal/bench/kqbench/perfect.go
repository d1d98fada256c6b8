package kqbench

import (
	"context"
	"net/http"
	"sync"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqload"
	"kumquatglade/internal/bench/kqtarget"
)

// perfect sends calls to targets directly, with one counter of calls in
// progress that all share: the limit of what knowledge of load can give.
type perfectBalancer struct {
	caller    *kqcaller.Caller
	slots     int
	mu        sync.Mutex
	slotFreed *sync.Cond
	targets   []*kqtarget.Target
	inFlight  []int
}

func newPerfectBalancer(caller *kqcaller.Caller, targets []*kqtarget.Target, slots int) *perfectBalancer {
	p := &perfectBalancer{caller: caller, targets: targets, slots: slots, inFlight: make([]int, len(targets))}
	p.slotFreed = sync.NewCond(&p.mu)
	return p
}

// take waits for the target with the most free slots.
func (p *perfectBalancer) acquireTarget() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		best := 0
		for i, n := range p.inFlight {
			if n < p.inFlight[best] {
				best = i
			}
		}
		if p.inFlight[best] < p.slots {
			p.inFlight[best]++
			return best
		}
		p.slotFreed.Wait()
	}
}

func (p *perfectBalancer) releaseTarget(i int) {
	p.mu.Lock()
	p.inFlight[i]--
	p.mu.Unlock()
	p.slotFreed.Signal()
}

func (p *perfectBalancer) call(ctx context.Context, body []byte) kqload.Outcome {
	i := p.acquireTarget()
	defer p.releaseTarget(i)
	return classify(body)(p.caller.Do(ctx, kqcaller.Call{Method: http.MethodGet, Path: "/x", Body: body, Entry: p.targets[i].Addr()}))
}
