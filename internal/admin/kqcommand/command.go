package kqcommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"kumquatglade/internal/admin/kqclient"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3 // outcome unknown: safe to repeat the same command

	// ExitWarnings is the code of a check that finds a document valid and has warnings. A
	// check changes nothing, so that its outcome is never unknown.
	ExitWarnings = 3
)

// Environment variables that give the defaults of flags.
const (
	EnvServer   = "KUMQUAT_SERVER"
	EnvOperator = "KUMQUAT_OPERATOR"
)

// command is a subcommand that can be run.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// App is the command line with its parsed arguments.
type App struct {
	out      io.Writer
	parser   *flaggy.Parser
	commands []command

	server, key string
	json        bool
	file, owner string
	version     uint64
	wait        string
	domain      string
	end         bool
	filter      eventFilter
	against     checkFlags
}

// New returns the App that prints to out.
func New(out io.Writer) *App {
	a := &App{out: out, parser: flaggy.NewParser("kumquat"), server: os.Getenv(EnvServer), key: os.Getenv(EnvOperator)}
	p := a.parser
	p.Description = "operate kumquatglade by contracts"
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	p.String(&a.server, "s", "server", "admin addresses, separated by commas ("+EnvServer+")")
	p.String(&a.key, "k", "key", "operator key ("+EnvOperator+")")
	p.Bool(&a.json, "j", "json", "print the answer as JSON")
	a.addContract()
	a.addRoutes()
	a.addOwners()
	a.addHosts()
	a.addEvacuate()
	a.addInspect()
	return a
}

// addGroup adds a command that only contains subcommands.
func (a *App) addGroup(name, text string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = text
	a.parser.AttachSubcommand(s, 1)
	return s
}

// attacher is what a subcommand is attached to: the parser or another subcommand.
type attacher interface {
	AttachSubcommand(s *flaggy.Subcommand, position int)
}

func (a *App) addCommand(to attacher, name, text string, run func(context.Context) error) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = text
	to.AttachSubcommand(s, 1)
	a.commands = append(a.commands, command{s, run})
	return s
}

// Run parses args, carries the command out and returns the exit code.
func (a *App) Run(ctx context.Context, args []string, stderr io.Writer) int {
	if err := a.parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	for _, c := range a.commands {
		if c.sub.Used {
			return a.exitCode(c.run(ctx), stderr)
		}
	}
	a.parser.ShowHelp()
	return ExitUsage
}

// errUsage says that an argument is missing or malformed.
var errUsage = errors.New("usage")

func (a *App) exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "kumquat:", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, kqclient.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, errWarnings):
		return ExitWarnings
	}
	return ExitRefused
}
