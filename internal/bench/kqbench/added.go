package kqbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/pprof"
	"syscall"
	"time"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqfleet"
	"kumquatglade/internal/bench/kqload"
	"kumquatglade/internal/bench/kqrelay"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Bounds of the brief and of the issue.
const (
	maxAddedLatency = 1500 * time.Microsecond // added for 99 in 100 calls
	maxCPURatio     = 2.0                     // processor time against a bare relay
)

// addedCommand measures what the way through an entry host adds to a call,
// against the direct way and a bare relay, in turns within one run.
type addedCommand struct {
	rate        float64
	duration    time.Duration
	rounds      int
	bodySize    int
	profileFile string
}

func newAddedCommand() command {
	a := &addedCommand{rate: 2000, duration: 4 * time.Second, rounds: 3, bodySize: 200}
	return command{"added", "latency and processor time that an entry host adds to a call", a.flags, a.run}
}

func (a *addedCommand) flags(s *flaggy.Subcommand) {
	s.Float64(&a.rate, "", "rate", "calls a second")
	s.Duration(&a.duration, "", "duration", "of each turn")
	s.Int(&a.rounds, "", "rounds", "turns of each way")
	s.Int(&a.bodySize, "", "body", "bytes of a request body")
	s.String(&a.profileFile, "", "profile", "write a processor profile of the turns through the entry host")
}

// way is one way to the target, with what was measured on it.
type measuredPath struct {
	name   string
	addr   string
	report *kqload.Report
	cpu    time.Duration
}

func (a *addedCommand) run(ctx context.Context, out io.Writer) error {
	fleet, target, err := a.startSystem(ctx)
	if err != nil {
		return err
	}
	defer fleet.Close()
	relay, err := kqrelay.Start(target.Addr())
	if err != nil {
		return err
	}
	defer relay.Close()
	ways := []*measuredPath{
		{name: "direct", addr: target.Addr()},
		{name: "relay", addr: relay.Addr()},
		{name: "entry", addr: fleet.Addrs()[0]},
	}
	caller := kqcaller.New(kqcaller.Config{Owner: "bench", Service: "echo"})
	defer caller.Close()
	for round := range a.rounds {
		for _, w := range ways {
			stop, err := a.startProfile(w, round)
			if err != nil {
				return err
			}
			a.measure(ctx, w, caller, uint64(round))
			stop()
		}
	}
	return a.print(out, ways)
}

// startProfile profiles the first turn through the entry host.
func (a *addedCommand) startProfile(w *measuredPath, round int) (stop func(), err error) {
	if a.profileFile == "" || w.name != "entry" || round > 0 {
		return func() {}, nil
	}
	f, err := os.Create(a.profileFile)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

func (a *addedCommand) startSystem(ctx context.Context) (*kqfleet.Fleet, *kqtarget.Target, error) {
	fleet, err := kqfleet.Start(kqfleet.Config{Control: 1, Entries: 1, Domains: []string{"a"}, Region: "r"})
	if err != nil {
		return nil, nil, err
	}
	err = fleet.Apply(ctx, kqcontract.Contract{Owner: "bench", Version: 1, Services: []kqcontract.Service{{
		Name: "echo", Idempotent: []string{"GET"}, Deadline: kqcontract.Duration(5 * time.Second),
		Rate: 1e6, Burst: 1e5, Active: 1e5, Queue: 1e4, Share: 1, Retries: 10, Body: 1 << 20,
	}}})
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	list, err := fleet.AddTargets(1, kqtarget.Config{Service: "echo", Slots: 1000, Connections: 4000, Queue: 1000})
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return fleet, list[0], nil
}

func (a *addedCommand) measure(ctx context.Context, w *measuredPath, caller *kqcaller.Caller, seed uint64) {
	before := processCPUTime()
	rep := kqload.Run(ctx, kqload.Config{
		Rate: a.rate, Duration: a.duration, WarmUp: time.Second, Seed: seed,
		Call: func(ctx context.Context, _ int) kqload.Outcome { return callEcho(ctx, caller, w.addr, a.bodySize) },
	})
	w.cpu += processCPUTime() - before
	if w.report == nil {
		w.report = rep
		return
	}
	w.report.Merge(rep)
}

// processorTime returns what this process has used so far.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// echo makes one call with a random body and checks that it comes back.
func callEcho(ctx context.Context, caller *kqcaller.Caller, entry string, size int) kqload.Outcome {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('a' + rand.IntN(26))
	}
	return classify(body)(caller.Do(ctx, kqcaller.Call{Method: http.MethodPost, Path: "/echo", Body: body, Entry: entry}))
}

// ended returns how a call with the body ended.
func classify(body []byte) func(kqcaller.Answer, error) kqload.Outcome {
	return func(a kqcaller.Answer, err error) kqload.Outcome {
		switch {
		case err != nil:
			return kqload.Broken
		case a.Run() == "no":
			return kqload.Refused
		case a.Run() != "":
			return kqload.Unknown
		case a.Status != http.StatusOK:
			return kqload.Failed
		case string(a.Body) != string(body):
			return kqload.Wrong
		}
		return kqload.Done
	}
}

func (a *addedCommand) print(out io.Writer, ways []*measuredPath) error {
	fmt.Fprintf(out, "%.0f calls a second, %d turns of %s, body %d bytes, one process for all ends\n", a.rate, a.rounds, a.duration, a.bodySize)
	fmt.Fprintf(out, "%-8s %8s %8s %8s %8s %8s %12s\n", "way", "calls", "done", "p50", "p99", "p99.9", "cpu/call")
	for _, w := range ways {
		fmt.Fprintf(out, "%-8s %8d %8d %8s %8s %8s %12s\n", w.name, w.report.Calls, w.report.Outcomes[kqload.Done],
			formatMicros(w.report.LatencyAt(50)), formatMicros(w.report.LatencyAt(99)), formatMicros(w.report.LatencyAt(99.9)), w.cpuPerCall())
	}
	direct, relay, entry := ways[0], ways[1], ways[2]
	added := entry.report.LatencyAt(99) - direct.report.LatencyAt(99)
	cost := float64(entry.cpuPerCall()-direct.cpuPerCall()) / float64(relay.cpuPerCall()-direct.cpuPerCall())
	fmt.Fprintf(out, "added p99: entry %s, relay %s (bound %s)\n", formatMicros(added), formatMicros(relay.report.LatencyAt(99)-direct.report.LatencyAt(99)), maxAddedLatency)
	fmt.Fprintf(out, "processor time added, entry to relay: %.2f (bound %.1f)\n", cost, maxCPURatio)
	if added > maxAddedLatency || cost > maxCPURatio {
		return errors.New("a bound is missed")
	}
	return nil
}

func (w *measuredPath) cpuPerCall() time.Duration {
	return (w.cpu / time.Duration(max(1, w.report.Calls))).Round(time.Microsecond / 10)
}

func formatMicros(d time.Duration) string {
	return fmt.Sprintf("%dµs", d.Microseconds())
}
