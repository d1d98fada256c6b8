package kqsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"kumquatglade/internal/bench/kqprocess"

	"github.com/cockroachdb/errors"
)

const (
	formTime    = 30 * time.Second // until the system serves for the first time
	recoverTime = 15 * time.Second // until it serves again after the last fault, as the users ask
	lookPause   = 100 * time.Millisecond
	proofs      = 20 // requests in a row that succeed after a round
)

// Config constructs a soak of the hosts whose settings lie in Dir.
type Config struct {
	Dir     string
	Seed    uint64
	For     time.Duration
	Rate    float64 // requests a second
	Targets int
	Out     io.Writer
}

// soak is one run.
type soak struct {
	cfg     Config
	ledger  *Ledger
	hosts   *hosts
	callers *callers
	oper    *operator
	names   int

	mu      sync.Mutex
	targets []*target
}

// Run plays rounds of faults until the time is over and returns what broke a promise.
func Run(ctx context.Context, cfg Config) ([]string, error) {
	h, err := open(cfg.Dir)
	if err != nil {
		return nil, err
	}
	s := &soak{cfg: cfg, ledger: NewLedger(), hosts: h}
	var calls, admins []string
	for _, e := range h.Entries {
		calls = append(calls, e.Settings.Listen.Calls)
	}
	for _, c := range h.Control {
		admins = append(admins, c.Settings.Listen.Admin)
	}
	s.callers, s.oper = newCallers(s.ledger, calls), &operator{ledger: s.ledger, control: admins}
	for range cfg.Targets {
		s.targets = append(s.targets, s.newTarget())
	}
	defer s.end()
	if err := s.form(ctx); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, cfg.For)
	defer stop()
	var work sync.WaitGroup
	work.Go(func() { s.callers.run(ctx, cfg.Rate) })
	work.Go(func() { s.oper.run(ctx) })
	s.rounds(ctx)
	stop()
	work.Wait()
	time.Sleep(callLimit) // answers under way
	s.calm(context.WithoutCancel(ctx), "the end")
	counts, violations := s.ledger.Result()
	fmt.Fprintf(cfg.Out, "%+v\n", counts)
	return violations, nil
}

func (s *soak) newTarget() *target {
	s.names++
	return startTarget(fmt.Sprintf("t%d", s.names), s.ledger, s.hosts.doorsOf())
}

func (s *soak) end() {
	for _, t := range s.targets {
		t.kill()
	}
}

// form waits until the new system serves.
func (s *soak) form(ctx context.Context) error {
	began := time.Now()
	for !s.oper.apply(ctx, s.oper.version.Add(1)) {
		if time.Since(began) > formTime {
			return errors.Newf("no routes are accepted within %v", formTime)
		}
		time.Sleep(lookPause)
	}
	if missing := s.serving(ctx, formTime); missing != "" {
		return errors.Newf("does not form: %s", missing)
	}
	return s.hosts.formed()
}

func (s *soak) rounds(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1))
	for n := 1; ctx.Err() == nil; n++ {
		list := Round(rng)
		fmt.Fprintf(s.cfg.Out, "round %d: %+v\n", n, list)
		var under sync.WaitGroup
		for _, f := range list {
			under.Go(func() {
				wait(ctx, f.After)
				if err := s.strike(ctx, f); err != nil {
					fmt.Fprintf(s.cfg.Out, "round %d: %s: %v\n", n, f.Kind, err)
				}
			})
		}
		under.Wait()
		s.calm(context.WithoutCancel(ctx), fmt.Sprintf("round %d", n))
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// strike brings the fault about and ends it, if it is one that ends.
func (s *soak) strike(ctx context.Context, f Fault) error {
	entry := s.hosts.Entries[f.Pick%len(s.hosts.Entries)]
	control := func(i int) *kqprocess.Host { return s.hosts.Control[(f.Pick+i)%len(s.hosts.Control)] }
	switch f.Kind {
	case KillEntry:
		return entry.Signal(syscall.SIGKILL)
	case StopEntry:
		return entry.Signal(syscall.SIGTERM)
	case FreezeEntry:
		return freeze(ctx, entry, f.For)
	case FreezeControl:
		return freeze(ctx, control(0), f.For)
	case KillControl:
		return each(f.Count, func(i int) error { return control(i).Signal(syscall.SIGKILL) })
	case LoseDisk:
		return each(f.Count, func(i int) error { return s.hosts.lose(control(i)) })
	case KillAll:
		all := s.hosts.All()
		return each(len(all), func(i int) error { return all[i].Signal(syscall.SIGKILL) })
	default:
		s.strikeTarget(ctx, f)
		return nil
	}
}

func each(n int, do func(i int) error) error {
	var err error
	for i := range n {
		err = errors.CombineErrors(err, do(i))
	}
	return err
}

func freeze(ctx context.Context, h *kqprocess.Host, d time.Duration) error {
	if err := h.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	wait(ctx, d)
	return h.Signal(syscall.SIGCONT)
}

func (s *soak) strikeTarget(ctx context.Context, f Fault) {
	s.mu.Lock()
	i := f.Pick % len(s.targets)
	t := s.targets[i]
	if f.Kind == TargetCrash || f.Kind == TargetLeaves {
		s.targets[i] = s.newTarget()
	}
	s.mu.Unlock()
	switch f.Kind {
	case TargetCrash:
		t.kill()
	case TargetLeaves:
		t.leave(ctx)
		wait(ctx, f.For+drainBound)
		t.kill()
	case TargetSlow:
		t.slow.Store(900)
		wait(ctx, f.For)
		t.slow.Store(0)
	case TargetSheds:
		t.shed.Store(true)
		wait(ctx, f.For)
		t.shed.Store(false)
	case TargetLoses:
		t.loses.Store(true)
		wait(ctx, f.For)
		t.loses.Store(false)
	}
}

// calm holds that the system comes back in time after the faults.
func (s *soak) calm(ctx context.Context, when string) {
	began := time.Now()
	if missing := s.serving(ctx, recoverTime); missing != "" {
		s.ledger.Missed("%s: %v after the last fault: %s", when, recoverTime, missing)
	}
	fmt.Fprintf(s.cfg.Out, "%s: serves after %v\n", when, time.Since(began).Round(time.Millisecond))
}

// serving waits until the newest accepted routes are in force on every entry host
// and requests succeed in a row; it returns what is missing at the end.
func (s *soak) serving(ctx context.Context, limit time.Duration) string {
	until := time.Now().Add(limit)
	missing, row := "", 0
	for row < proofs*len(s.hosts.Entries) {
		if time.Now().After(until) {
			return missing
		}
		if missing = s.lacking(ctx); missing != "" {
			row = 0
			time.Sleep(lookPause)
			continue
		}
		for _, e := range s.hosts.Entries {
			if !s.callers.one(ctx, e.Settings.Listen.Calls) {
				missing, row = "requests through "+e.Settings.Label+" fail", -1
				time.Sleep(lookPause)
			}
			row++
		}
	}
	return ""
}

// lacking returns which host does not show the newest accepted routes.
func (s *soak) lacking(ctx context.Context) string {
	newest := s.ledger.Newest(time.Now())
	for _, c := range s.hosts.Control {
		if v, ok := s.oper.read(ctx, c.Settings.Listen.Admin); !ok || v < newest {
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
	ctx, cancel := context.WithTimeout(ctx, operateTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/ready", nil)
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
