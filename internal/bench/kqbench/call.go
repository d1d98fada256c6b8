package kqbench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"kumquatglade/internal/bench/kqcaller"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/call/kqheader"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// callCommand makes one or more calls, one after the other, and prints a line for each.
type callCommand struct {
	cfg            kqcaller.Config
	call           kqcaller.Call
	entries        string
	idempotencyKey string
	body           string
	count          int
	resolveOnly    bool
	deadline       time.Duration
}

func newCallCommand() command {
	c := &callCommand{count: 1, call: kqcaller.Call{Method: http.MethodGet, Path: "/"}, deadline: 10 * time.Second}
	return command{"call", "make calls through the entry hosts", c.flags, c.run}
}

func (c *callCommand) flags(s *flaggy.Subcommand) {
	s.String(&c.entries, "", "entries", "calls addresses of entry hosts, separated by commas")
	s.String(&c.cfg.Owner, "", "owner", "owner")
	s.String(&c.cfg.Service, "", "service", "service")
	s.String(&c.cfg.Key, "", "key", "the owner's key")
	s.String(&c.call.Method, "", "method", "method")
	s.String(&c.call.Path, "", "path", "path and query")
	s.String(&c.call.Entry, "", "entry", "use this entry host without asking")
	s.String(&c.idempotencyKey, "", "idempotency", "idempotency key")
	s.String(&c.body, "", "body", "request body")
	s.Int(&c.count, "", "count", "calls, one after the other")
	s.Bool(&c.resolveOnly, "", "resolve", "only ask for entry hosts")
}

func (c *callCommand) run(ctx context.Context, out io.Writer) error {
	c.cfg.Entries = strings.Split(c.entries, ",")
	caller := kqcaller.New(c.cfg)
	defer caller.Close()
	c.call.Body = []byte(c.body)
	c.call.Header = http.Header{}
	if c.idempotencyKey != "" {
		c.call.Header.Set(kqheader.IdempotencyKey, c.idempotencyKey)
	}
	for range c.count {
		if err := c.callOnce(ctx, caller, out); err != nil {
			return err
		}
	}
	return nil
}

func (c *callCommand) callOnce(ctx context.Context, caller *kqcaller.Caller, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	if c.resolveOnly {
		list, err := caller.Resolve(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, strings.Join(list, " "))
		return err
	}
	a, err := caller.Do(ctx, c.call)
	if err != nil {
		return errors.Wrapf(err, "broken with status %d and %d bytes", a.Status, len(a.Body))
	}
	fmt.Fprintf(out, "%d target=%s run=%s kept=%s %s\n", a.Status, a.Header.Get(kqtarget.HeaderTarget), a.Run(),
		a.Header.Get(kqheader.Replayed), strings.TrimSpace(string(a.Body)))
	return nil
}
