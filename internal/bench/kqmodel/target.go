package kqmodel

import (
	"math"
	"time"
)

// job is one send of a request to a target.
type job struct {
	work  time.Duration
	until time.Time // when the caller or the route gives up
	end   func(ok bool)
}

// target works on jobs.
type target struct {
	s       *sim
	n       int
	domain  string
	slow    float64 // of its machine now
	running int
	line    []job
}

func (t *target) fault() (Fault, bool) {
	f, at := t.s.cfg.Fault, t.s.since()
	hit := t.n < int(math.Round(f.Share*float64(len(t.s.targets))))
	return f, hit && at >= t.s.cfg.From && at < t.s.cfg.From+t.s.cfg.For
}

// take runs the job, lets it wait, or sheds it.
func (t *target) take(j job) {
	f, hit := t.fault()
	switch {
	case hit && (f.FailFast || t.s.rng.Float64() < f.Shed):
		j.end(false)
	case t.running < t.s.cfg.Slots:
		t.begin(j)
	case len(t.line) < t.s.cfg.Queue:
		t.line = append(t.line, j)
	default:
		t.s.report.Shed[t.n]++
		j.end(false)
	}
}

// begin starts the work: what slows the target at this moment stays with it.
func (t *target) begin(j job) {
	t.running++
	cfg := &t.s.cfg
	x := t.slow
	if cfg.Knee > 0 && float64(t.running) > cfg.Knee*float64(cfg.Slots) {
		x *= cfg.KneeSlow
	}
	if f, hit := t.fault(); hit {
		x *= max(f.Slow, f.Cold, 1)
	}
	t.s.after(time.Duration(x*float64(j.work)), func() {
		t.running--
		t.next()
		j.end(true)
	})
}

func (t *target) next() {
	for len(t.line) > 0 && t.running < t.s.cfg.Slots {
		j := t.line[0]
		t.line = t.line[1:]
		if t.s.now.After(j.until) {
			j.end(false)
			continue
		}
		t.begin(j)
	}
}

// expected is how long a job that came now would take, in units of its work.
func (t *target) expected() float64 {
	cfg := &t.s.cfg
	f, hit := t.fault()
	if hit && f.FailFast {
		return math.Inf(1)
	}
	x := t.slow
	if hit {
		x *= max(f.Slow, f.Cold, 1)
	}
	if cfg.Knee > 0 && float64(t.running+1) > cfg.Knee*float64(cfg.Slots) {
		x *= cfg.KneeSlow
	}
	if t.running >= cfg.Slots {
		x += x * float64(len(t.line)+1) / float64(cfg.Slots)
	}
	return x
}

// drift draws anew how slow the machine is.
func (t *target) drift() {
	t.slow = 1
	if t.s.rng.Float64() < t.s.cfg.NoiseShare {
		t.slow = t.s.cfg.NoiseSlow
	}
	t.s.after(t.s.cfg.NoiseEvery, t.drift)
}
