package kqsoak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	formTimeout       = 30 * time.Second // until the new system serves requests
	recoveryTimeout   = 15 * time.Second // until it serves again after the last fault, as the users require
	pollInterval      = 100 * time.Millisecond
	requiredSuccesses = 20 // consecutive successes per entry host after a round

	plannedSlots = 12 // of a target in planned work
	minWork      = 76 * time.Millisecond
	maxWorkTime  = 120 * time.Millisecond
	maxSlowWork  = 950 * time.Millisecond
	slowShare    = 50 // one request in so many is slow
)

// Config configures a soak run on the hosts whose settings are in the folder Dir.
type Config struct {
	Dir     string
	Seed    uint64
	RunTime time.Duration
	Rate    float64 // requests per second
	Targets int
	Planned bool  // only planned work, during which no request may be lost
	Reload  bool  // SIGHUP is part of the planned work
	Stayers int   // callers for each entry host that stay until it is gone
	Ways    []Way // in which stayers send
	Scarce  bool  // load that queues, owners, targets that misbehave, faults of links
	Out     io.Writer
}

// soak is the state of one run.
type soak struct {
	cfg         Config
	ledger      *Ledger
	hosts       *hosts
	callers     *callers
	operator    *operator
	targetCount int

	mu       sync.Mutex
	targets  []*Target
	links    []*Proxy // of callers to entry hosts, and of targets to control hosts
	announce []string // addresses at which targets announce themselves, those of the control hosts if empty

	evacuations sync.Mutex // one evacuation at a time, so that domains are left
}

// Run injects rounds of faults until cfg.RunTime has passed and returns the
// violations, or an error if the system cannot be opened or does not start.
func Run(ctx context.Context, cfg Config) ([]string, error) {
	h, err := open(cfg.Dir)
	if err != nil {
		return nil, err
	}
	s := &soak{cfg: cfg, ledger: NewLedger(), hosts: h}
	s.ledger.SetPlanned(cfg.Planned)
	var calls, admins []string
	for _, e := range h.Entries {
		calls = append(calls, e.Settings.Listen.Calls)
	}
	for _, c := range h.Control {
		admins = append(admins, c.Settings.Listen.Admin)
	}
	if cfg.Scarce {
		defer s.closeLinks()
		if calls, err = s.proxied(calls); err != nil {
			return nil, err
		}
		if s.announce, err = s.proxied(h.controlAddrs()); err != nil {
			return nil, err
		}
	}
	s.callers, s.operator = newCallers(s.ledger, calls), &operator{ledger: s.ledger, control: admins, scarce: cfg.Scarce}
	s.callers.scarce = cfg.Scarce
	for range cfg.Targets {
		s.targets = append(s.targets, s.newTarget())
	}
	defer s.killTargets()
	if err := s.awaitFormation(ctx); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, cfg.RunTime)
	defer stop()
	var workload sync.WaitGroup
	workload.Go(func() { s.callers.run(ctx, cfg.Rate) })
	workload.Go(func() { s.operator.run(ctx) })
	for i, addr := range calls {
		for n := range cfg.Stayers {
			stayer := &Stayer{
				Name: fmt.Sprintf("s%d-%d", i+1, n+1), Addr: addr, Ledger: s.ledger,
				Ways: cfg.Ways, Seed: cfg.Seed<<16 + uint64(i*cfg.Stayers+n),
			}
			workload.Go(func() { stayer.Run(ctx) })
		}
	}
	s.runRounds(ctx)
	stop()
	workload.Wait()
	time.Sleep(callTimeout) // lets requests in flight finish
	s.checkRecovery(context.WithoutCancel(ctx), "the end")
	return s.report(), nil
}

// report prints the counts and a trace of what was lost, and returns the violations.
func (s *soak) report() []string {
	ways := []Way{WayClient}
	if s.cfg.Stayers > 0 {
		ways = append(ways, s.cfg.Ways...)
	}
	if s.cfg.Planned {
		s.ledger.CheckWays(ways)
	}
	byWay, lost := s.ledger.ByWay()
	for _, w := range ways {
		fmt.Fprintf(s.cfg.Out, "%-30s %+v\n", w, byWay[w])
	}
	for _, line := range s.hosts.trace(lost) {
		fmt.Fprintln(s.cfg.Out, line)
	}
	if s.cfg.Scarce {
		s.reportPromises()
	}
	counts, violations := s.ledger.Result()
	fmt.Fprintf(s.cfg.Out, "%+v\n", counts)
	return violations
}

func (s *soak) newTarget() *Target {
	s.targetCount++
	return s.startTarget(fmt.Sprintf("t%d", s.targetCount))
}

func (s *soak) startTarget(id string) *Target {
	cfg := TargetConfig{ID: id, Ledger: s.ledger, ControlAddrs: s.announce}
	if len(s.announce) == 0 {
		cfg.ControlAddrs = s.hosts.controlAddrs()
	}
	if s.cfg.Scarce {
		s.makeScarce(&cfg)
	}
	if s.cfg.Planned {
		cfg.Slots, cfg.Work = plannedSlots, plannedWork
	}
	return StartTarget(cfg)
}

// plannedWork draws how long a target works on a request: as those of the users, mostly
// short and at times up to the timeout of a route.
func plannedWork() time.Duration {
	if rand.IntN(slowShare) == 0 {
		return rand.N(maxSlowWork)
	}
	return minWork + rand.N(maxWorkTime-minWork)
}

func (s *soak) killTargets() {
	for _, t := range s.targets {
		t.Kill()
	}
}

// awaitFormation waits until the new system serves, then turns bootstrap off.
func (s *soak) awaitFormation(ctx context.Context) error {
	began := time.Now()
	for !s.operator.apply(ctx, s.operator.version.Add(1)) {
		if time.Since(began) > formTimeout {
			return errors.Newf("no routes are accepted within %v", formTimeout)
		}
		time.Sleep(pollInterval)
	}
	if missing := s.awaitServing(ctx, formTimeout); missing != "" {
		return errors.Newf("does not form: %s", missing)
	}
	return s.hosts.disableBootstrap()
}

func (s *soak) runRounds(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1))
	for n := 1; ctx.Err() == nil; n++ {
		list := s.round(rng, n)
		s.noteDisturbance(list, true)
		fmt.Fprintf(s.cfg.Out, "round %d: %+v\n", n, list)
		var faults sync.WaitGroup
		for _, f := range list {
			faults.Go(func() {
				wait(ctx, f.After)
				if err := s.inject(ctx, f); err != nil {
					fmt.Fprintf(s.cfg.Out, "round %d: %s: %v\n", n, f.Kind, err)
				}
			})
		}
		faults.Wait()
		s.checkRecovery(context.WithoutCancel(ctx), fmt.Sprintf("round %d", n))
		s.noteDisturbance(list, false)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkRecovery records a violation if the system does not serve in time after faults.
func (s *soak) checkRecovery(ctx context.Context, when string) {
	s.callers.paused.Store(s.cfg.Scarce)
	defer s.callers.paused.Store(false)
	began := time.Now()
	if missing := s.awaitServing(ctx, recoveryTimeout); missing != "" {
		s.ledger.AddViolation("%s: %v after the last fault: %s", when, recoveryTimeout, missing)
	}
	fmt.Fprintf(s.cfg.Out, "%s: serves after %v\n", when, time.Since(began).Round(time.Millisecond))
}

// awaitServing waits until every control host shows the newest accepted routes, every
// entry host is ready and enough consecutive requests succeed. It returns what is
// missing when the limit passes, or an empty string.
func (s *soak) awaitServing(ctx context.Context, limit time.Duration) string {
	until := time.Now().Add(limit)
	missing, successes := "", 0
	for successes < requiredSuccesses {
		if time.Now().After(until) {
			return missing
		}
		if missing = s.findOutdated(ctx); missing == "" {
			missing = s.sendThroughAll(ctx)
		}
		if successes++; missing != "" {
			successes = 0
			time.Sleep(pollInterval)
		}
	}
	return ""
}

// sendThroughAll sends a request through each entry host and names one through which it
// failed; empty if there is none.
func (s *soak) sendThroughAll(ctx context.Context) string {
	var calls sync.WaitGroup
	failed := make([]string, len(s.hosts.Entries))
	for i, e := range s.hosts.Entries {
		calls.Go(func() {
			if !s.callers.send(ctx, e.Settings.Listen.Calls, s.recoveryCredential()) {
				failed[i] = "requests through " + e.Settings.Label + " fail"
			}
		})
	}
	calls.Wait()
	return cmp.Or(failed...)
}

// findOutdated describes the first control host without the newest accepted routes or
// entry host that is not ready; empty if there is none.
func (s *soak) findOutdated(ctx context.Context) string {
	newest := s.ledger.Newest(time.Now())
	for _, c := range s.hosts.Control {
		if v, ok := s.operator.read(ctx, c.Settings.Listen.Admin); !ok || v < newest {
			return fmt.Sprintf("%s shows routes %d of %d", c.Settings.Label, v, newest)
		}
	}
	for _, e := range s.hosts.Entries {
		if status := s.ready(ctx, e.Settings.Listen.Ready); status != http.StatusOK {
			return fmt.Sprintf("%s is not ready: %d", e.Settings.Label, status)
		}
	}
	return ""
}

func (s *soak) ready(ctx context.Context, addr string) int {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/ready", nil)
	if err != nil {
		return 0
	}
	res, err := strictClient.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
