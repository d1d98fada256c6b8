package kqbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"kumquatglade/internal/bench/kqprocess"
	"kumquatglade/internal/state/kqcontract"

	"github.com/integrii/flaggy"
)

// settingsCommand writes the settings of the processes that scripts/fleet runs.
type settingsCommand struct {
	dir              string
	control, entries int
}

func newSettingsCommand() command {
	s := &settingsCommand{control: 3, entries: 16}
	return command{"settings", "write settings for scripts/fleet", s.flags, s.run}
}

func (s *settingsCommand) flags(sub *flaggy.Subcommand) {
	sub.String(&s.dir, "", "dir", "folder to write to")
	sub.Int(&s.control, "", "control", "control hosts")
	sub.Int(&s.entries, "", "entries", "entry hosts")
}

func (s *settingsCommand) run(_ context.Context, out io.Writer) error {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d control and %d entry hosts in %s\n", s.control, s.entries, s.dir)
	return kqprocess.WriteSettings(s.dir, s.control, s.entries, []string{"a", "b", "c", "d"})
}

// sampleContract returns a contract whose rate is derived from mark, so that
// contracts with different marks differ in content.
func sampleContract(owner string, version uint64, mark int) kqcontract.Contract {
	return kqcontract.Contract{Owner: owner, Version: version, Services: []kqcontract.Service{{
		Name: "chiso", Idempotent: []string{"GET"}, Deadline: kqcontract.Duration(2 * time.Second),
		Rate: float64(1 + mark), Burst: 10, Active: 10, Queue: 10, Share: 1, Retries: 10, Body: 1000,
	}}}
}
