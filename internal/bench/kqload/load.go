package kqload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = int64(time.Minute)
	significantDigits = 3
)

// Kind says how a call ended.
type Outcome string

// Kinds.
const (
	Done    Outcome = "done"    // the whole right answer
	Refused Outcome = "refused" // certainly not run
	Unknown Outcome = "unknown" // may have run, no answer
	Broken  Outcome = "broken"  // the connection or the answer broke off
	Wrong   Outcome = "wrong"   // an answer that is not the call's own
	Failed  Outcome = "failed"  // the target's own error
)

// Config constructs a run.
type Config struct {
	Rate     float64 // calls a second
	Duration time.Duration
	WarmUp   time.Duration // calls due before this are made but not counted
	Seed     uint64
	Call     func(ctx context.Context, n int) Outcome
}

// Report is what one run measured.
type Report struct {
	Calls    int
	Outcomes map[Outcome]int
	Latency  *hdrhistogram.Histogram // nanoseconds from the due time, of calls that are Done
	Elapsed  time.Duration
}

// newReport returns an empty Report.
func newReport() *Report {
	return &Report{Outcomes: map[Outcome]int{}, Latency: hdrhistogram.New(1, maxLatency, significantDigits)}
}

// Merge adds the counts of another report.
func (r *Report) Merge(o *Report) {
	r.Calls += o.Calls
	for k, n := range o.Outcomes {
		r.Outcomes[k] += n
	}
	r.Latency.Merge(o.Latency)
	r.Elapsed = max(r.Elapsed, o.Elapsed)
}

// At returns the latency at a percentile.
func (r *Report) LatencyAt(percentile float64) time.Duration {
	return time.Duration(r.Latency.ValueAtPercentile(percentile))
}

// Run makes the calls and waits for all of them.
func Run(ctx context.Context, cfg Config) *Report {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	rep := newReport()
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second))
		if due > cfg.WarmUp+cfg.Duration || ctx.Err() != nil {
			break
		}
		if d := time.Until(began.Add(due)); d > 0 {
			time.Sleep(d)
		}
		at, counted := began.Add(due), due > cfg.WarmUp
		wait.Go(func() {
			kind := cfg.Call(ctx, n)
			took := time.Since(at)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rep.add(kind, took)
		})
	}
	wait.Wait()
	rep.Elapsed = time.Since(began)
	return rep
}

func (r *Report) add(kind Outcome, took time.Duration) {
	r.Calls++
	r.Outcomes[kind]++
	if kind == Done {
		r.Latency.RecordValue(min(int64(took), maxLatency)) // within the bounds
	}
}
