package kqbench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqfleet"
	"kumquatglade/internal/bench/kqload"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

const (
	minUsableShare = 0.9             // of the rate, with all demand at one host
	settleTime     = 4 * time.Second // before a case is counted
)

// limitsCommand sends ten times an owner's rate and counts at the targets what
// comes through in every second.
type limitsCommand struct {
	rate        float64
	burst       int
	entries     int
	duration    time.Duration
	boundMissed bool
	fleet       *kqfleet.Fleet
}

func newLimitsCommand() command {
	l := &limitsCommand{rate: 200, burst: 40, entries: 13, duration: 12 * time.Second}
	return command{"limits", "an owner's rate over all entry hosts, counted at the targets", l.flags, l.run}
}

func (l *limitsCommand) flags(s *flaggy.Subcommand) {
	s.Float64(&l.rate, "", "rate", "calls a second of the contract")
	s.Int(&l.burst, "", "burst", "burst of the contract")
	s.Duration(&l.duration, "", "duration", "of each case")
}

func (l *limitsCommand) run(ctx context.Context, out io.Writer) error {
	fleet, err := kqfleet.Start(kqfleet.Config{Control: 3, Entries: l.entries, Domains: []string{"a", "b", "c"}, Region: "r"})
	if err != nil {
		return err
	}
	defer fleet.Close()
	l.fleet = fleet
	err = fleet.Apply(ctx, kqcontract.Contract{Owner: "bench", Version: 1, Services: []kqcontract.Service{{
		Name: "chiso", Idempotent: []string{"GET"}, Deadline: kqcontract.Duration(2 * time.Second),
		Rate: l.rate, Burst: l.burst, Active: 1e5, Queue: 1e4, Share: 1, Retries: 0, Body: 1 << 20,
	}}})
	if err != nil {
		return err
	}
	targets, err := fleet.AddTargets(13, kqtarget.Config{Service: "chiso", Slots: 4, Connections: 220, Queue: 32, Mean: 5 * time.Millisecond})
	if err != nil {
		return err
	}
	addrs := fleet.Addrs()
	l.runCase(ctx, out, "all at one host", targets, func(int) string { return addrs[5] })
	l.runCase(ctx, out, "spread over all hosts", targets, func(n int) string { return addrs[n%len(addrs)] })
	began := time.Now()
	l.runCase(ctx, out, "moving to another host every 2 s", targets, func(int) string {
		return addrs[int(time.Since(began).Seconds()/2)%len(addrs)]
	})
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		restartEntryHosts(fleet, stop)
	}()
	l.runCase(ctx, out, "spread, hosts restarted in turn", targets, func(n int) string { return addrs[n%len(addrs)] })
	close(stop)
	<-ended
	if l.boundMissed {
		return errors.New("a bound is missed")
	}
	return nil
}

// restartInTurn kills and starts one entry host after the other, the allocator
// among them.
func restartEntryHosts(fleet *kqfleet.Fleet, stop <-chan struct{}) {
	for i := 0; ; i++ {
		h := fleet.Entries[i%len(fleet.Entries)]
		fleet.Down(h)
		time.Sleep(200 * time.Millisecond)
		if err := fleet.Up(h); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// one loads the system with ten times the rate and counts every second.
func (l *limitsCommand) runCase(ctx context.Context, out io.Writer, name string, targets []*kqtarget.Target, entry func(n int) string) {
	caller := kqcaller.New(kqcaller.Config{Owner: "bench", Service: "chiso"})
	defer caller.Close()
	began := time.Now()
	stop, sampled := make(chan struct{}), make(chan float64)
	go func() { sampled <- l.sampleShares(stop) }()
	kqload.Run(ctx, kqload.Config{
		Rate: 10 * l.rate, Duration: settleTime + l.duration, Seed: 1,
		Call: func(ctx context.Context, n int) kqload.Outcome {
			return classify(nil)(caller.Do(ctx, kqcaller.Call{Method: http.MethodGet, Path: "/x", Entry: entry(n)}))
		},
	})
	close(stop)
	parts := <-sampled
	most, total := busiestSecond(targets, began.Add(settleTime), l.duration)
	share := float64(total) / l.duration.Seconds() / l.rate
	limit := l.rate + float64(l.burst)
	ok := float64(most) <= limit && parts <= 1
	if name == "all at one host" && share < minUsableShare {
		ok = false
	}
	word := "holds "
	if !ok {
		word, l.boundMissed = "MISSED", true
	}
	fmt.Fprintf(out, "%s  %-34s most in any second %d (limit %.0f with burst), used %.2f of the rate, parts in use at most %.3f\n", word, name, most, limit, share, parts)
}

// sample returns the highest sum of the parts that all hosts may use at a time.
func (l *limitsCommand) sampleShares(stop <-chan struct{}) float64 {
	most := 0.0
	for {
		select {
		case <-stop:
			return most
		case <-time.After(10 * time.Millisecond):
		}
		sum := 0.0
		for _, h := range l.fleet.Running() {
			sum += h.LimitFraction("bench", "chiso")
		}
		most = max(most, sum)
	}
}

// worstSecond returns the most calls that began in any ten tenths in a row, and
// all calls of the case.
func busiestSecond(targets []*kqtarget.Target, began time.Time, d time.Duration) (most, total int) {
	sum := map[int64]int{}
	for _, t := range targets {
		for tenth, n := range t.RunsByTenth() {
			sum[tenth] += n
		}
	}
	first := began.UnixMilli() / 100
	last := first + d.Milliseconds()/100 + 20
	for at := first; at < last; at++ {
		total += sum[at]
		second := 0
		for i := range int64(10) {
			second += sum[at+i]
		}
		most = max(most, second)
	}
	return most, total
}
