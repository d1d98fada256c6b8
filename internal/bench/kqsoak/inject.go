package kqsoak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"kumquatglade/internal/bench/kqprocess"

	"github.com/cockroachdb/errors"
)

const goneInterval = 10 * time.Millisecond // between two looks whether a process has ended

// inject causes the fault and ends it after f.For if it is one that ends.
func (s *soak) inject(ctx context.Context, f Fault) error {
	entry := s.entry(f.Pick)
	control := func(i int) *kqprocess.Host { return s.hosts.Control[(f.Pick+i)%len(s.hosts.Control)] }
	switch f.Kind {
	case KillEntry:
		return entry.Signal(syscall.SIGKILL)
	case StopEntry:
		return s.stop(ctx, entry, 0)
	case StopEntryTwice:
		return s.stop(ctx, entry, f.For)
	case StopEntries:
		return s.stopEntries(ctx, f)
	case StopWithLeader:
		return s.stopWithLeader(ctx, f)
	case Reload:
		return forEach(f.Count, func(i int) error { return s.entry(f.Pick + i).Signal(syscall.SIGHUP) })
	case StopControl:
		return control(0).Signal(syscall.SIGTERM)
	case FreezeEntry:
		return freeze(ctx, entry, f.For)
	case FreezeControl:
		return freeze(ctx, control(0), f.For)
	case KillControl:
		return forEach(f.Count, func(i int) error { return control(i).Signal(syscall.SIGKILL) })
	case LoseDisk:
		return forEach(min(f.Count, s.hosts.tolerance()), func(i int) error { return s.hosts.loseData(control(i)) })
	case KillAll:
		all := s.hosts.All()
		return forEach(len(all), func(i int) error { return all[i].Signal(syscall.SIGKILL) })
	case LinkDelay, LinkCut, LinkCutOne, LinkSlow, LinkReset, LinkSilence:
		s.injectLink(ctx, f)
		return nil
	case Evacuate:
		s.mu.Lock()
		domain := s.targets[f.Pick%len(s.targets)].domain()
		s.mu.Unlock()
		return s.evacuate(ctx, domain, f.For)
	default:
		s.injectTarget(ctx, f)
		return nil
	}
}

func (s *soak) entry(i int) *kqprocess.Host { return s.hosts.Entries[i%len(s.hosts.Entries)] }

func forEach(n int, do func(i int) error) error {
	var err error
	for i := range n {
		err = errors.Join(err, do(i))
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

// stop ends an entry host as planned and waits until its process is gone; it kills one that
// takes too long, as the users do. With second, it sends a second signal after that time.
func (s *soak) stop(ctx context.Context, h *kqprocess.Host, second time.Duration) error {
	pid, err := h.Pid()
	if err != nil {
		return err
	}
	if err := h.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	began := time.Now()
	s.ledger.Signalled(h.Settings.Listen.Calls, began)
	if second > 0 {
		wait(ctx, second)
		if syscall.Kill(pid, syscall.SIGTERM) != nil {
			return nil // it has ended
		}
	}
	for syscall.Kill(pid, 0) == nil {
		if time.Since(began) > graceTime {
			fmt.Fprintf(s.cfg.Out, "%s: killed %v after the signal\n", h.Settings.Label, graceTime)
			return syscall.Kill(pid, syscall.SIGKILL)
		}
		time.Sleep(goneInterval)
	}
	fmt.Fprintf(s.cfg.Out, "%s: gone %v after the signal\n", h.Settings.Label, time.Since(began).Round(time.Millisecond))
	return nil
}

// stopEntries stops entry hosts at once, or one after the other in overlapping stops.
func (s *soak) stopEntries(ctx context.Context, f Fault) error {
	var stops sync.WaitGroup
	errs := make([]error, min(2+f.Count, len(s.hosts.Entries)))
	for i := range errs {
		if f.Count > 1 && i > 0 {
			wait(ctx, f.For)
		}
		stops.Go(func() { errs[i] = s.stop(ctx, s.entry(f.Pick+i), 0) })
	}
	stops.Wait()
	return errors.Join(errs...)
}

// stopWithLeader stops an entry host and the control host that leads at the same moment.
func (s *soak) stopWithLeader(ctx context.Context, f Fault) error {
	leader := s.hosts.leader(ctx)
	if leader == nil {
		return errors.New("no control host leads")
	}
	if err := leader.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return s.stop(ctx, s.entry(f.Pick), 0)
}

func (s *soak) injectTarget(ctx context.Context, f Fault) {
	s.mu.Lock()
	i := f.Pick % len(s.targets)
	t := s.targets[i]
	switch f.Kind {
	case TargetCrash, TargetLeaves:
		s.targets[i] = s.newTarget()
	case TargetMoves:
		t.stop() // a later announcement would move it back
		s.targets[i] = s.startTarget(t.cfg.ID)
	}
	s.mu.Unlock()
	switch f.Kind {
	case TargetCrash:
		t.Kill()
	case TargetLeaves:
		t.leave(context.WithoutCancel(ctx))
		time.Sleep(f.For + drainBound) // also if the run ends: its requests are still in progress
		t.Kill()
	case TargetMoves:
		time.Sleep(f.For + drainBound)
		t.Kill()
	case TargetSlow:
		t.slowdown.Store(900)
		wait(ctx, f.For)
		t.slowdown.Store(0)
	case TargetRejects:
		t.rejects.Store(true)
		wait(ctx, f.For)
		t.rejects.Store(false)
	case TargetQuiet:
		t.quiet.Store(true)
		wait(ctx, f.For)
		t.quiet.Store(false)
	case TargetCools:
		t.cools(time.Now(), coldTime+f.For)
	case TargetDropsAnswers:
		t.dropsAnswers.Store(true)
		wait(ctx, f.For)
		t.dropsAnswers.Store(false)
	}
}
