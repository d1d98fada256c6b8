package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// site is a running fleet with instances that ping.
type site struct {
	*fleet
	ctx       context.Context
	end       context.CancelFunc
	instances []*instance
}

// controls returns the control addresses, as the list of every caller of control has them.
func (f *fleet) controls() []string {
	var list []string
	for _, c := range f.cores {
		list = append(list, c.addr(offControl))
	}
	return list
}

// startSite starts the machines, applies the first desired state, and starts instances of
// the service, which prepare may change before they serve.
func startSite(log *record, cores, fronts int, config []byte, service string, instances int, prepare func(*instance)) (*site, error) {
	f, err := newFleet(log, cores, fronts)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	s := &site{fleet: f, ctx: ctx, end: end}
	if err := f.startAll(); err != nil {
		s.close()
		return nil, err
	}
	if status, err := f.putConfig(config, 15*time.Second); err != nil || status != 200 {
		s.close()
		return nil, fmt.Errorf("first PUT /config: status %d, %v", status, err)
	}
	for i := range instances {
		in, err := startInstance(log, fmt.Sprintf("127.71.3.%d", i+1), fmt.Sprintf("i-%d", i+1), service)
		if err != nil {
			s.close()
			return nil, err
		}
		if prepare != nil {
			prepare(in)
		}
		s.instances = append(s.instances, in)
		go in.serve()
		pings, stop := context.WithCancel(ctx)
		in.stopPings = stop
		go in.keepPinging(pings, f.controls())
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		s.close()
		return nil, err
	}
	time.Sleep(3 * time.Second) // until all fronts know all instances
	return s, nil
}

func (s *site) close() {
	s.end()
	for _, in := range s.instances {
		in.exit()
	}
	s.stop()
}

// outcome is one client attempt with its answer.
type outcome struct {
	request
	answer
	sentAt time.Time
}

// load lets a number of clients send requests until ctx ends, each with a pause between
// two of them, and returns what came of them.
func (s *site) load(ctx context.Context, clients int, pause time.Duration, next func() request) []outcome {
	var mu sync.Mutex
	var list []outcome
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			c := &client{addr: s.fronts[n%len(s.fronts)].addr(offFront)}
			defer c.close()
			for ctx.Err() == nil {
				q := next()
				at := time.Now()
				a := c.send(q)
				s.log.printf("client: %s %s %s: status %d, seal %q after %v %s", q.method, q.path, q.id, a.status, a.seal, a.took.Round(time.Millisecond), errText(a.err))
				mu.Lock()
				list = append(list, outcome{q, a, at})
				mu.Unlock()
				time.Sleep(max(pause, a.retry)) // clients honour Retry-After
			}
		})
	}
	wg.Wait()
	return list
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// runs returns how often all instances together ran the request.
func (s *site) runs(id string) int {
	n := 0
	for _, in := range s.instances {
		n += in.runCount(id)
	}
	return n
}
