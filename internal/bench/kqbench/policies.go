package kqbench

import (
	"context"
	"fmt"
	"image/color"
	"io"
	"math"
	"slices"
	"time"

	"kumquatglade/internal/bench/kqmodel"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// policiesCommand compares routing policies in a simulation in virtual time, under
// the load of the users' installations.
type policiesCommand struct {
	deployment   string
	plotFile     string
	plottedFault string
	seeds        int
}

func newPoliciesCommand() command {
	p := &policiesCommand{deployment: "hoanglien", plottedFault: "burst", seeds: 5}
	return command{"policies", "compare choices of targets in virtual time", p.flags, p.run}
}

func (p *policiesCommand) flags(s *flaggy.Subcommand) {
	s.String(&p.deployment, "", "deployment", "hoanglien, schetsbord, or shared for two classes of requests in an owner's burst")
	s.Int(&p.seeds, "", "seeds", "plays that are added up for each line, from seed 1 on")
	s.String(&p.plotFile, "", "plot", "file for a plot of latency by policy (.svg, .png, .pdf)")
	s.String(&p.plottedFault, "", "fault", "pattern that is plotted")
}

// policyResult sums the results of one policy under one fault pattern over all
// seeds.
type policyResult struct {
	requests, inTime, late, refused, probes int
	latency                                 *hdrhistogram.Histogram
}

func (p *policiesCommand) run(_ context.Context, out io.Writer) error {
	if p.deployment == "shared" && p.seeds > 0 {
		return p.runClasses(out)
	}
	models := map[string]func() kqmodel.Config{"hoanglien": kqmodel.Hoanglien, "schetsbord": kqmodel.Schetsbord}
	model, ok := models[p.deployment]
	if !ok || p.seeds < 1 {
		return errors.Mark(errors.Newf("deployment %q with %d seeds", p.deployment, p.seeds), errUsage)
	}
	faults := kqmodel.Faults()
	if !slices.ContainsFunc(faults, func(f kqmodel.Fault) bool { return f.Name == p.plottedFault }) {
		return errors.Mark(errors.Newf("fault %q is unknown", p.plottedFault), errUsage)
	}
	cfg := model()
	fmt.Fprintf(out, "%s: %d entry hosts, %d targets of %d slots, %.0f requests/s, objective %s, seeds 1 to %d\n",
		p.deployment, cfg.Hosts, cfg.Targets, cfg.Slots, cfg.Rate, cfg.Objective, p.seeds)
	fmt.Fprintf(out, "%-9s %-8s %9s %8s %8s %8s %8s %8s %8s %8s\n", "pattern", "policy", "requests", "in time", "late", "refused", "p50", "p99", "p99.9", "asked")
	curves := map[string]*hdrhistogram.Histogram{}
	for _, f := range faults {
		for _, policy := range kqmodel.Policies() {
			l, err := p.runSeeds(cfg, f, policy)
			if err != nil {
				return err
			}
			if f.Name == p.plottedFault {
				curves[policy] = l.latency
			}
			l.print(out, f.Name, policy)
		}
	}
	if p.plotFile == "" {
		return nil
	}
	return plotLatency(p.plotFile, p.deployment+", "+p.plottedFault, curves)
}

// runClasses prints what each class of SharedService gets in the burst of an owner, without
// and with room left to urgent requests, and with perfect knowledge.
func (p *policiesCommand) runClasses(out io.Writer) error {
	fmt.Fprintf(out, "%-10s %-9s %-8s %9s %8s %9s\n", "policy", "leastcost", "class", "requests", "in time", "answered")
	for _, k := range []struct {
		policy    string
		leastCost bool
	}{{kqmodel.Fresh, false}, {kqmodel.Fresh, true}, {kqmodel.Perfect, false}} {
		cfg := kqmodel.SharedService()
		cfg.Fault, cfg.LeastCost, cfg.ConnectedFirst = kqmodel.OwnerBurst(), k.leastCost, k.leastCost
		sum := make([]kqmodel.ClassReport, len(cfg.Classes))
		for seed := range p.seeds {
			cfg.Seed = uint64(seed + 1)
			r, err := kqmodel.Run(cfg, k.policy)
			if err != nil {
				return err
			}
			for i, c := range r.Classes {
				sum[i].Add(c)
			}
		}
		for _, c := range sum {
			fmt.Fprintf(out, "%-10s %-9t %-8s %9d %8.3f %9.3f\n", k.policy, k.leastCost, c.Name, c.Requests, c.ShareInTime(), c.ShareAnswered())
		}
	}
	return nil
}

func (p *policiesCommand) runSeeds(cfg kqmodel.Config, f kqmodel.Fault, policy string) (policyResult, error) {
	var l policyResult
	for seed := range p.seeds {
		cfg.Fault, cfg.Seed = f, uint64(seed+1)
		r, err := kqmodel.Run(cfg, policy)
		if err != nil {
			return l, err
		}
		l.requests += r.Requests
		l.inTime += r.InTime
		l.late += r.Late
		l.refused += r.Refused
		l.probes += r.Asked
		if l.latency == nil {
			l.latency = r.Latency
			continue
		}
		l.latency.Merge(r.Latency)
	}
	return l, nil
}

func (l policyResult) print(out io.Writer, fault, policy string) {
	share := func(n int) float64 { return float64(n) / float64(max(l.requests, 1)) }
	at := func(p float64) time.Duration {
		return time.Duration(l.latency.ValueAtPercentile(p)).Round(time.Millisecond)
	}
	fmt.Fprintf(out, "%-9s %-8s %9d %8.3f %8.3f %8.3f %8s %8s %8s %8.1f\n", fault, policy, l.requests, share(l.inTime), share(l.late), share(l.refused),
		at(50), at(99), at(99.9), share(l.probes))
}

// plotLatency plots the latency of answered requests by percentile, with one
// curve for each policy.
func plotLatency(file, title string, curves map[string]*hdrhistogram.Histogram) error {
	p := plot.New()
	p.Title.Text = "latency of answered requests: " + title
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}}
	p.X.Max = 3.1 // leaves room for the label at 3
	p.Legend.Top, p.Legend.Left = true, true
	colors := []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{R: 220, G: 140, A: 255}, color.RGBA{B: 200, A: 255}, color.RGBA{G: 140, A: 255}}
	for i, policy := range kqmodel.Policies() {
		var points plotter.XYs
		for x := 0.0; x <= 3; x += 0.05 { // x is the number of nines of the percentile: 1 is 90, 2 is 99
			ms := float64(curves[policy].ValueAtPercentile(100*(1-math.Pow(10, -x)))) / float64(time.Millisecond)
			points = append(points, plotter.XY{X: x, Y: max(ms, 1)})
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		curve.Color, curve.Width = colors[i], vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(policy, curve)
	}
	return errors.Wrapf(p.Save(16*vg.Centimeter, 10*vg.Centimeter, file), "plot %s", file)
}
