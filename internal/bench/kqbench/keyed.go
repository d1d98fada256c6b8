package kqbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqfleet"
	"kumquatglade/internal/bench/kqload"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

const (
	keyedService = "kekhai"
	maxSends     = 6 // of one filing at the most
	resendDelay  = 300 * time.Millisecond
)

// keyedCommand makes filings with resends through other entry hosts while entry
// hosts are killed, and counts the runs at the targets.
type keyedCommand struct {
	filings   int
	rate      float64
	entries   int
	mu        sync.Mutex
	answered  map[string]bool // some answer came from a target
	uncertain map[string]bool // some answer was "unknown" or broke off
	outcomes  map[string]int
}

func newKeyedCommand() command {
	k := &keyedCommand{filings: 10_000, rate: 250, entries: 13, answered: map[string]bool{}, uncertain: map[string]bool{}, outcomes: map[string]int{}}
	return command{"keyed", "filings with resends while entry hosts are killed: runs counted at the targets", k.flags, k.run}
}

func (k *keyedCommand) flags(s *flaggy.Subcommand) {
	s.Int(&k.filings, "", "filings", "filings")
	s.Float64(&k.rate, "", "rate", "filings a second")
	s.Int(&k.entries, "", "entries", "entry hosts")
}

func (k *keyedCommand) run(ctx context.Context, out io.Writer) error {
	fleet, err := kqfleet.Start(kqfleet.Config{Control: 3, Entries: k.entries, Domains: []string{"a", "b", "c"}, Region: "r"})
	if err != nil {
		return err
	}
	defer fleet.Close()
	err = fleet.Apply(ctx, kqcontract.Contract{Owner: "bench", Version: 1, Services: []kqcontract.Service{{
		Name: keyedService, Deadline: kqcontract.Duration(2 * time.Second),
		Rate: 1e5, Burst: 1e5, Active: 1e5, Queue: 1e4, Share: 1, Retries: 10, Body: 1 << 20,
	}}})
	if err != nil {
		return err
	}
	targets, err := fleet.AddTargets(8, kqtarget.Config{Service: keyedService, Slots: 4, Connections: 220, Queue: 32, Mean: 20 * time.Millisecond})
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the guards of a new system answer, limits are lent
	faults, stop := context.WithCancel(ctx)
	ended := make(chan int)
	go func() { ended <- k.killEntryHosts(faults, fleet) }()
	caller := kqcaller.New(kqcaller.Config{Owner: "bench", Service: keyedService, Entries: fleet.Addrs()})
	defer caller.Close()
	kqload.Run(ctx, kqload.Config{
		Rate: k.rate, Duration: time.Duration(float64(k.filings) / k.rate * float64(time.Second)), Seed: 1,
		Call: func(ctx context.Context, n int) kqload.Outcome { return k.sendFiling(ctx, caller, fleet.Addrs(), n) },
	})
	stop()
	kills := <-ended
	return k.print(out, targets, kills)
}

// killing kills one entry host, lets it come back, and kills a second one at
// once after the repair of the first.
func (k *keyedCommand) killEntryHosts(ctx context.Context, fleet *kqfleet.Fleet) int {
	kills := 0
	for ctx.Err() == nil {
		h := fleet.Entries[rand.IntN(len(fleet.Entries))]
		fleet.Down(h)
		kills++
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		if err := fleet.Up(h); err != nil {
			return kills
		}
		for !h.Daemon.Serving() || !h.Daemon.GuardReady() {
			if ctx.Err() != nil {
				return kills
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return kills
}

// filing sends one filing until it has an answer, and sometimes once more.
func (k *keyedCommand) sendFiling(ctx context.Context, caller *kqcaller.Caller, entries []string, n int) kqload.Outcome {
	key := fmt.Sprintf("filing-%d", n)
	body := []byte(key)
	for i := range maxSends {
		a, err := caller.Do(ctx, kqcaller.Call{
			Method: http.MethodPost, Path: "/filings", Body: body, Entry: entries[rand.IntN(len(entries))],
			Header: http.Header{kqheader.IdempotencyKey: {key}},
		})
		kind := classify(body)(a, err)
		k.recordAnswer(key, kind, a)
		if kind == kqload.Done && (n%10 > 0 || i > 0) {
			return kind
		}
		time.Sleep(resendDelay)
	}
	return kqload.Unknown
}

func (k *keyedCommand) recordAnswer(key string, kind kqload.Outcome, a kqcaller.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	word := string(kind)
	if a.Header.Get(kqheader.Replayed) != "" {
		word = "kept"
	}
	k.outcomes[word]++
	switch kind {
	case kqload.Done:
		k.answered[key] = true
	case kqload.Refused:
	default:
		k.uncertain[key] = true
	}
}

// print compares the answers with what ran.
func (k *keyedCommand) print(out io.Writer, targets []*kqtarget.Target, kills int) error {
	runs := map[string]int{}
	for _, t := range targets {
		for key, n := range t.Keys() {
			runs[key] += n
		}
	}
	twice, lied, lost := 0, 0, 0
	for key, n := range runs {
		if n > 1 {
			twice++
		}
		if !k.answered[key] && !k.uncertain[key] {
			lied++ // every answer said that it did not run
		}
	}
	for key := range k.answered {
		if runs[key] == 0 {
			lost++
		}
	}
	fmt.Fprintf(out, "%d filings through %d entry hosts, %d kills of entry hosts, answers %v\n", k.filings, k.entries, kills, k.outcomes)
	fmt.Fprintf(out, "answered %d, not answered but maybe run %d, ran twice %d, said not run but ran %d, answered but not run %d\n",
		len(k.answered), len(k.uncertain)-k.answeredAndUncertain(), twice, lied, lost)
	if twice+lied+lost > 0 {
		return errors.New("a promise is broken")
	}
	return nil
}

func (k *keyedCommand) answeredAndUncertain() int {
	n := 0
	for key := range k.uncertain {
		if k.answered[key] {
			n++
		}
	}
	return n
}
