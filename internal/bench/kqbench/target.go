package kqbench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"kumquatglade/internal/bench/kqtarget"

	"github.com/integrii/flaggy"
)

// drainTime is how long a target stays after it announced that it drains.
const drainDuration = 4 * time.Second

// targetCommand runs one stand-in target until it is interrupted; then it drains.
type targetCommand struct {
	cfg     kqtarget.Config
	entries string
	fault   string
}

func newTargetCommand() command {
	t := &targetCommand{cfg: kqtarget.Config{
		Service: "echo", ID: "echo-1", Addr: "127.0.0.1:0", Domain: "local-a", Slots: 4, Connections: 220, Queue: 16,
		Mean: 2 * time.Millisecond, ColdFactor: 1,
	}}
	return command{"target", "run one stand-in target", t.flags, t.run}
}

func (t *targetCommand) flags(s *flaggy.Subcommand) {
	s.String(&t.cfg.Service, "", "service", "service")
	s.String(&t.cfg.ID, "", "id", "name of the target")
	s.String(&t.cfg.Addr, "", "listen", "IP:port to serve")
	s.String(&t.cfg.Domain, "", "domain", "failure domain")
	s.Int(&t.cfg.Slots, "", "slots", "calls served at the same time")
	s.Int(&t.cfg.Queue, "", "queue", "calls that wait for a slot before it sheds")
	s.Duration(&t.cfg.Mean, "", "mean", "mean service time")
	s.Int(&t.cfg.Cold, "", "cold", "calls after the start that take longer")
	s.Float64(&t.cfg.ColdFactor, "", "coldfactor", "how many times as long")
	s.String(&t.entries, "", "entries", "calls addresses of entry hosts, separated by commas")
	s.String(&t.fault, "", "fault", "failfast, failran, silent or dieinside")
}

func (t *targetCommand) run(ctx context.Context, out io.Writer) error {
	t.cfg.Entries = strings.Split(t.entries, ",")
	target, err := kqtarget.Start(t.cfg)
	if err != nil {
		return err
	}
	target.Fail(kqtarget.Fault(t.fault))
	fmt.Fprintf(out, "target %s serves %s\n", t.cfg.ID, target.Addr())
	<-ctx.Done()
	target.Drain()
	time.Sleep(drainDuration)
	target.Kill()
	s := target.Stats()
	fmt.Fprintf(out, "runs %d shed %d cancelled %d probes %d\n", s.Runs, s.Shed, s.Cancelled, s.Probes)
	return nil
}
