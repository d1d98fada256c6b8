package kqbench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqfleet"
	"kumquatglade/internal/bench/kqload"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Bounds of the issue.
const (
	maxDrainDelay   = 3 * time.Second
	maxLatencyRatio = 2.0 // p99 from 2 s after the silence on, against before
)

// stopsCommand drains a target, stops an
// entry host as planned, and lets connections go silent, all under calls.
type stopsCommand struct {
	rate         float64
	entries      int
	missedBounds []string
	out          io.Writer
}

func newStopsCommand() command {
	s := &stopsCommand{rate: 300, entries: 6}
	return command{"stops", "drains, planned stops and silent connections under calls", s.flags, s.run}
}

func (s *stopsCommand) flags(sub *flaggy.Subcommand) {
	sub.Float64(&s.rate, "", "rate", "calls a second")
	sub.Int(&s.entries, "", "entries", "entry hosts")
}

func (s *stopsCommand) run(ctx context.Context, out io.Writer) error {
	s.out = out
	fleet, err := kqfleet.Start(kqfleet.Config{Control: 3, Entries: s.entries, Domains: []string{"a", "b", "c"}, Region: "r"})
	if err != nil {
		return err
	}
	defer fleet.Close()
	err = fleet.Apply(ctx, kqcontract.Contract{Owner: "bench", Version: 1, Services: []kqcontract.Service{{
		Name: "chiso", Idempotent: []string{"GET"}, Deadline: kqcontract.Duration(3 * time.Second),
		Rate: 1e4, Burst: 1e4, Active: 1e4, Queue: 1e3, Share: 1, Retries: 10, Hedges: 5, Body: 1 << 20,
	}}})
	if err != nil {
		return err
	}
	targets, err := fleet.AddTargets(6, kqtarget.Config{
		Service: "chiso", Slots: 4, Connections: 220, Queue: 32, Mean: 20 * time.Millisecond, Wire: true,
	})
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // limits are lent
	s.testDrain(ctx, fleet, targets[0])
	s.testSilentConnections(ctx, fleet, targets[1:])
	s.testPlannedStop(ctx, fleet)
	if len(s.missedBounds) > 0 {
		return errors.Newf("missed: %v", s.missedBounds)
	}
	return nil
}

func (s *stopsCommand) printCheck(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "holds "
	if !ok {
		word = "MISSED"
		s.missedBounds = append(s.missedBounds, text)
	}
	fmt.Fprintf(s.out, "%s  %s\n", word, text)
}

// under runs half POST, half GET calls for the time and does something meanwhile.
func (s *stopsCommand) runLoad(ctx context.Context, fleet *kqfleet.Fleet, d time.Duration, meanwhile func()) *kqload.Report {
	caller := kqcaller.New(kqcaller.Config{Owner: "bench", Service: "chiso", Entries: fleet.Addrs()})
	defer caller.Close()
	var wait sync.WaitGroup
	wait.Go(meanwhile)
	rep := kqload.Run(ctx, kqload.Config{
		Rate: s.rate, Duration: d, Seed: 1,
		Call: func(ctx context.Context, n int) kqload.Outcome {
			body, method := randomBody(), http.MethodGet
			if n%2 == 0 {
				method = http.MethodPost
			}
			return classify(body)(caller.Do(ctx, kqcaller.Call{Method: method, Path: "/x", Body: body}))
		},
	})
	wait.Wait()
	return rep
}

// drain drains one target.
func (s *stopsCommand) testDrain(ctx context.Context, fleet *kqfleet.Fleet, t *kqtarget.Target) {
	var at time.Time
	rep := s.runLoad(ctx, fleet, 8*time.Second, func() {
		time.Sleep(2 * time.Second)
		at = time.Now()
		t.Drain()
	})
	st := t.Stats()
	late := max(0, st.LastNew.Sub(at))
	s.printCheck(late <= maxDrainDelay && st.Runs > 0, "drain: last new call %s after it (bound %s)", late.Round(time.Millisecond), maxDrainDelay)
	s.printCheck(rep.Outcomes[kqload.Done] == rep.Calls, "drain: %d of %d calls not whole: %v", rep.Calls-rep.Outcomes[kqload.Done], rep.Calls, rep.Outcomes)
}

// silence lets all open connections to all targets go silent at once.
func (s *stopsCommand) testSilentConnections(ctx context.Context, fleet *kqfleet.Fleet, targets []*kqtarget.Target) {
	nothing := func() {}
	before := s.runLoad(ctx, fleet, 5*time.Second, nothing)
	during := s.runLoad(ctx, fleet, 2*time.Second, func() {
		for _, t := range targets {
			t.Silence()
		}
	})
	after := s.runLoad(ctx, fleet, 5*time.Second, nothing)
	s.printCheck(during.Outcomes[kqload.Broken] == 0, "silent connections: within 2 s %v of %d calls, p99 %s", during.Outcomes, during.Calls, formatMillis(during.LatencyAt(99)))
	ratio := float64(after.LatencyAt(99)) / float64(before.LatencyAt(99))
	s.printCheck(ratio <= maxLatencyRatio && after.Outcomes[kqload.Done] == after.Calls, "silent connections: p99 before %s, from 2 s on %s, ratio %.2f (bound %.1f), %v of %d",
		formatMillis(before.LatencyAt(99)), formatMillis(after.LatencyAt(99)), ratio, maxLatencyRatio, after.Outcomes, after.Calls)
}

// planned stops one entry host while callers hold its address.
func (s *stopsCommand) testPlannedStop(ctx context.Context, fleet *kqfleet.Fleet) {
	rep := s.runLoad(ctx, fleet, 18*time.Second, func() {
		time.Sleep(2 * time.Second)
		fleet.Stop(fleet.Entries[0])
	})
	s.printCheck(rep.Outcomes[kqload.Done] == rep.Calls, "planned stop of an entry host: %d of %d calls not whole: %v", rep.Calls-rep.Outcomes[kqload.Done], rep.Calls, rep.Outcomes)
}
