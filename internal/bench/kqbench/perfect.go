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
type perfect struct {
	caller  *kqcaller.Caller
	slots   int
	mu      sync.Mutex
	free    *sync.Cond
	targets []*kqtarget.Target
	busy    []int
}

func newPerfect(caller *kqcaller.Caller, targets []*kqtarget.Target, slots int) *perfect {
	p := &perfect{caller: caller, targets: targets, slots: slots, busy: make([]int, len(targets))}
	p.free = sync.NewCond(&p.mu)
	return p
}

// take waits for the target with the most free slots.
func (p *perfect) take() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		best := 0
		for i, n := range p.busy {
			if n < p.busy[best] {
				best = i
			}
		}
		if p.busy[best] < p.slots {
			p.busy[best]++
			return best
		}
		p.free.Wait()
	}
}

func (p *perfect) give(i int) {
	p.mu.Lock()
	p.busy[i]--
	p.mu.Unlock()
	p.free.Signal()
}

func (p *perfect) do(ctx context.Context, body []byte) kqload.Kind {
	i := p.take()
	defer p.give(i)
	return ended(body)(p.caller.Do(ctx, kqcaller.Call{Method: http.MethodGet, Path: "/x", Body: body, Entry: p.targets[i].Addr()}))
}
