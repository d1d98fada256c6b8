package kqbench

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// errUsage marks errors about missing or malformed arguments; the exit code is 2.
var errUsage = errors.New("usage")

// command is one subcommand.
type command struct {
	name, description string
	flags             func(*flaggy.Subcommand)
	run               func(ctx context.Context, out io.Writer) error
}

// Run parses args, runs the subcommand and returns the exit code: 0 for success, 1
// when the command fails or a measured figure misses its bound, 2 for wrong usage.
func Run(ctx context.Context, args []string, out, stderr io.Writer) int {
	p := flaggy.NewParser("kumquatbench")
	p.Description = "stand-ins, load and experiments for kumquatglade"
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	list := commands()
	subs := make([]*flaggy.Subcommand, len(list))
	for i, c := range list {
		subs[i] = flaggy.NewSubcommand(c.name)
		subs[i].Description = c.description
		c.flags(subs[i])
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	for i, c := range list {
		if !subs[i].Used {
			continue
		}
		err := c.run(ctx, out)
		if err == nil {
			return 0
		}
		fmt.Fprintln(stderr, "kumquatbench:", err)
		if errors.Is(err, errUsage) {
			return 2
		}
		return 1
	}
	p.ShowHelp()
	return 2
}

func commands() []command {
	return []command{newTargetCommand(), newCallCommand(), newAddedCommand(), newSettingsCommand(), newContractsCommand(), newHeadlineCommand(), newPoliciesCommand(), newKeyedCommand(), newLimitsCommand(), newQuotasCommand(), newStopsCommand(), newSoakCommand()}
}
