package kqcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/golden"
)

// evacuations is a Store that applies orders to a state of its own; err is what it fails with.
type evacuations struct {
	kqcontrol.Store
	state *kqcontract.State
	err   error
}

func (s *evacuations) Evacuate(_ context.Context, domain string, on bool) (kqcontract.Evacuation, error) {
	switch {
	case s.err != nil:
		return kqcontract.Evacuation{}, s.err
	case domain == "x":
		return kqcontract.Evacuation{}, errors.Wrapf(kqcontract.ErrUnknownDomain, "evacuation of %q", domain)
	}
	order := kqcontract.EvacuationOrder{Domain: domain, On: on, Revision: s.state.Evacuation(domain).Revision}
	at := time.Date(2026, 12, 6, 9, 0, int(s.state.Revision), 0, time.UTC)
	s.state.Apply(kqcontract.Command{Op: kqcontract.OpEvacuate, Evacuate: &order, Time: at})
	return s.state.Evacuation(domain), nil
}

func (s *evacuations) Read(context.Context, kqcontrol.Query) (kqcontrol.Document, error) {
	return kqcontrol.Document{Evacuations: s.state.Evacuations}, s.err
}

// statusLink answers for a host with its status.
type statusLink struct {
	kq.Link
	status func() kqadmin.Status
}

func (l statusLink) Call(_ context.Context, _, _ string, _, out any) error {
	p, err := json.Marshal(l.status())
	if err != nil {
		return err
	}
	return json.Unmarshal(p, out)
}

// TestEvacuationCommands compares what the commands print, and their exit codes, with the
// golden file.
func TestEvacuationCommands(t *testing.T) {
	store := &evacuations{state: kqcontract.NewState()}
	status := func() kqadmin.Status {
		return kqadmin.Status{Host: "e1", Domain: "b", Roles: []string{"entry"}, Serving: true, Evacuated: kqcontract.EvacuatedDomains(store.state.Evacuations)}
	}
	admin := kqadmin.NewServer(kqadmin.Config{
		OperatorKey: "key", Store: store, Metrics: metrics.NewRegistry(), Link: statusLink{status: status}, Hosts: func() []string { return []string{"e1"} },
	})
	e := echo.New()
	admin.Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	t.Setenv(EnvServer, strings.TrimPrefix(server.URL, "http://"))
	t.Setenv(EnvOperator, "key")
	var out strings.Builder
	run := func(args ...string) {
		fmt.Fprintf(&out, "$ kumquat %s\n", strings.Join(args, " "))
		if code := New(&out).Run(t.Context(), args, &out); code != 0 {
			fmt.Fprintf(&out, "exit %d\n", code)
		}
	}
	run("evacuations")
	run("evacuate", "--end", "a")
	run("evacuate", "a")
	run("evacuate", "a")
	run("evacuate", "b")
	run("status")
	run("evacuate", "--end", "a")
	run("evacuate", "x")
	run("--json", "evacuate", "b")
	run("evacuations")
	run("--json", "evacuations")
	store.err = errors.New("no quorum")
	run("evacuate", "a")
	run("evacuations")
	golden.Assert(t, strings.ReplaceAll(out.String(), server.URL, ""), "evacuations.golden")
}
