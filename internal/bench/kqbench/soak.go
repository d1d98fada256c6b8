package kqbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"kumquatglade/internal/bench/kqsoak"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// soakCommand injects random faults into the processes of scripts/fleet and checks
// the guarantees of the system from outside.
type soakCommand struct {
	dir      string
	settings bool
	seed     uint64
	seconds  int
	rate     float64
	targets  int
	control  int
	entries  int
	planned  bool
	stayers  int
	behind   bool
	half     bool
	reload   bool
	scarce   bool
}

func newSoakCommand() command {
	s := &soakCommand{seed: 1, seconds: 60, rate: 60, targets: 6, control: 5, entries: 4}
	return command{"soak", "random faults on processes of scripts/fleet, promises checked from outside", s.flags, s.run}
}

func (s *soakCommand) flags(sub *flaggy.Subcommand) {
	sub.String(&s.dir, "", "dir", "folder of settings, as scripts/fleet takes it")
	sub.Bool(&s.settings, "", "settings", "write the settings and end")
	sub.UInt64(&s.seed, "", "seed", "of the faults")
	sub.Int(&s.seconds, "", "seconds", "in which rounds of faults begin")
	sub.Float64(&s.rate, "", "rate", "requests a second")
	sub.Int(&s.targets, "", "targets", "stand-ins of targets")
	sub.Bool(&s.planned, "", "planned", "only planned work, which may cut no request")
	sub.Int(&s.stayers, "", "stayers", "callers for each entry host that stay until it is gone")
	sub.Bool(&s.behind, "", "behind", "stayers also send requests behind each other")
	sub.Bool(&s.half, "", "half", "stayers also close their sending side after a request")
	sub.Bool(&s.reload, "", "reload", "SIGHUP is part of the planned work")
	sub.Bool(&s.scarce, "", "scarce", "queues, owners with limits, targets that misbehave, faults of links")
	sub.Int(&s.control, "", "control", "control hosts, with --settings")
	sub.Int(&s.entries, "", "entries", "entry hosts, with --settings")
}

func (s *soakCommand) run(ctx context.Context, out io.Writer) error {
	if s.dir == "" || s.rate <= 0 || s.targets < 1 {
		return errors.Wrap(errUsage, "--dir, a rate and targets are needed")
	}
	if s.scarce && (s.planned || s.stayers > 0) {
		return errors.Wrap(errUsage, "--scarce is not combined with --planned or --stayers, whose callers have no keys")
	}
	if s.settings {
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
		return kqsoak.WriteSettings(s.dir, s.control, s.entries)
	}
	broken, err := kqsoak.Run(ctx, kqsoak.Config{
		Dir: s.dir, Seed: s.seed, RunTime: time.Duration(s.seconds) * time.Second, Rate: s.rate, Targets: s.targets,
		Planned: s.planned, Scarce: s.scarce, Reload: s.reload, Stayers: s.stayers, Ways: kqsoak.Ways(s.behind, s.half), Out: out,
	})
	if err != nil {
		return err
	}
	for _, b := range broken {
		fmt.Fprintln(out, "broken:", b)
	}
	if len(broken) > 0 {
		return errors.Newf("seed %d: %d promises broken", s.seed, len(broken))
	}
	fmt.Fprintf(out, "seed %d: no promise broken\n", s.seed)
	return nil
}
