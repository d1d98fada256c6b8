package kqbench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"kumquatglade/internal/bench/kqlimitmodel"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// quotasCommand compares ways to limit owners over all entry hosts in virtual time.
type quotasCommand struct {
	burst float64
	seeds int
}

func newQuotasCommand() command {
	q := &quotasCommand{burst: 1, seeds: 3}
	return command{"quotas", "compare ways to limit owners over all entry hosts, in virtual time", q.flags, q.run}
}

func (q *quotasCommand) flags(s *flaggy.Subcommand) {
	s.Float64(&q.burst, "", "burst", "burst of each owner, in seconds of its rate")
	s.Int(&q.seeds, "", "seeds", "plays that are added up for each line, from seed 1 on")
}

func (q *quotasCommand) run(_ context.Context, out io.Writer) error {
	if q.burst < 0 || q.seeds < 1 {
		return errors.Mark(errors.Newf("burst %v with %d seeds", q.burst, q.seeds), errUsage)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAULT\tWAY\tREQUESTS\tREFUSED\tLOST\tEXCESS\tUSED\tMESSAGES\tWAIT P99")
	for _, fault := range kqlimitmodel.Faults {
		for _, way := range kqlimitmodel.Ways {
			sum := kqlimitmodel.Play(way, fault, q.burst, 1)
			for seed := 2; seed <= q.seeds; seed++ {
				r := kqlimitmodel.Play(way, fault, q.burst, uint64(seed))
				sum.Requests, sum.Refused, sum.Lost = sum.Requests+r.Requests, sum.Refused+r.Refused, sum.Lost+r.Lost
				sum.Excess, sum.Used, sum.Messages, sum.Wait = max(sum.Excess, r.Excess), sum.Used+r.Used, sum.Messages+r.Messages, max(sum.Wait, r.Wait)
			}
			n := float64(q.seeds)
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%v\n", fault, way, sum.Requests, sum.Refused, sum.Lost, sum.Excess, sum.Used/n, sum.Messages/n, sum.Wait)
		}
	}
	return t.Flush()
}
