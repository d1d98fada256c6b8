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

// Outcome says how a call ended.
type Outcome string

// Outcomes of calls.
const (
	Done    Outcome = "done"    // complete and correct answer
	Refused Outcome = "refused" // certainly not run at a target
	Unknown Outcome = "unknown" // may have run at a target, without an answer
	Broken  Outcome = "broken"  // the connection failed or the answer is incomplete
	Wrong   Outcome = "wrong"   // an answer that belongs to another call
	Failed  Outcome = "failed"  // error answer of the target
)

// Config holds the parameters of a run.
type Config struct {
	Rate     float64 // calls a second
	Duration time.Duration
	WarmUp   time.Duration // calls due before this are made but not counted
	Seed     uint64
	Call     func(ctx context.Context, n int) Outcome // makes call n, counted from 0
}

// Report holds the results of one run.
type Report struct {
	Calls    int
	Outcomes map[Outcome]int
	Latency  *hdrhistogram.Histogram // nanoseconds from the due time, only of calls that are Done
	Elapsed  time.Duration
}

// newReport returns an empty Report.
func newReport() *Report {
	return &Report{Outcomes: map[Outcome]int{}, Latency: hdrhistogram.New(1, maxLatency, significantDigits)}
}

// Merge adds the counts and latencies of another report. Elapsed becomes the longer
// of the two times.
func (r *Report) Merge(o *Report) {
	r.Calls += o.Calls
	for k, n := range o.Outcomes {
		r.Outcomes[k] += n
	}
	r.Latency.Merge(o.Latency)
	r.Elapsed = max(r.Elapsed, o.Elapsed)
}

// LatencyAt returns the latency at a percentile from 0 to 100.
func (r *Report) LatencyAt(percentile float64) time.Duration {
	return time.Duration(r.Latency.ValueAtPercentile(percentile))
}

// Run makes calls at exponentially distributed intervals until the duration is over
// or ctx ends, and waits for all of them.
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
		dueAt, counted := began.Add(due), due > cfg.WarmUp
		wait.Go(func() {
			outcome := cfg.Call(ctx, n)
			latency := time.Since(dueAt)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rep.add(outcome, latency)
		})
	}
	wait.Wait()
	rep.Elapsed = time.Since(began)
	return rep
}

func (r *Report) add(outcome Outcome, latency time.Duration) {
	r.Calls++
	r.Outcomes[outcome]++
	if outcome == Done {
		r.Latency.RecordValue(min(int64(latency), maxLatency)) // within the range of the histogram, so this does not fail
	}
}
