package kqload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highest = int64(time.Minute)
	digits  = 3
)

// Kind says how a call ended.
type Kind string

// Kinds.
const (
	Done    Kind = "done"    // the whole right answer
	Refused Kind = "refused" // certainly not run
	Unknown Kind = "unknown" // may have run, no answer
	Broken  Kind = "broken"  // the connection or the answer broke off
	Wrong   Kind = "wrong"   // an answer that is not the call's own
	Failed  Kind = "failed"  // the target's own error
)

// Config constructs a run.
type Config struct {
	Rate     float64 // calls a second
	Duration time.Duration
	Warm     time.Duration // calls due before this are made but not counted
	Seed     uint64
	Do       func(ctx context.Context, n int) Kind
}

// Report is what one run measured.
type Report struct {
	Calls   int
	Kinds   map[Kind]int
	Latency *hdrhistogram.Histogram // nanoseconds from the due time, of calls that are Done
	Elapsed time.Duration
}

// newReport returns an empty Report.
func newReport() *Report {
	return &Report{Kinds: map[Kind]int{}, Latency: hdrhistogram.New(1, highest, digits)}
}

// Merge adds the counts of another report.
func (r *Report) Merge(o *Report) {
	r.Calls += o.Calls
	for k, n := range o.Kinds {
		r.Kinds[k] += n
	}
	r.Latency.Merge(o.Latency)
	r.Elapsed = max(r.Elapsed, o.Elapsed)
}

// At returns the latency at a percentile.
func (r *Report) At(percentile float64) time.Duration {
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
		if due > cfg.Warm+cfg.Duration || ctx.Err() != nil {
			break
		}
		if d := time.Until(began.Add(due)); d > 0 {
			time.Sleep(d)
		}
		at, counted := began.Add(due), due > cfg.Warm
		wait.Go(func() {
			kind := cfg.Do(ctx, n)
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

func (r *Report) add(kind Kind, took time.Duration) {
	r.Calls++
	r.Kinds[kind]++
	if kind == Done {
		r.Latency.RecordValue(min(int64(took), highest)) // within the bounds
	}
}
