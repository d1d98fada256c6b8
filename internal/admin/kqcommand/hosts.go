package kqcommand

import (
	"context"
	"os"

	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

func (a *App) addHosts() {
	g := a.addGroup("hosts", "read and set the hosts that the system counts on")
	a.addCommand(g, "list", "list control and entry hosts", a.listHosts)
	set := a.addCommand(g, "set", "set the host lists from a file", a.setHosts)
	set.AddPositionalValue(&a.file, "file", 1, true, "hosts document")
	set.String(&a.wait, "w", "wait", "wait so long until in force on all entry hosts")
}

func (a *App) listHosts(ctx context.Context) error {
	var h kqcontract.Hosts
	if err := a.client().Get(ctx, "/v1/hosts", &h); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(h)
	}
	t := a.table("ROLE", "HOST", "DOMAIN", "CALLS", "PEERS")
	for _, c := range h.Control {
		role := "voter"
		if !c.Voter {
			role = "replica"
		}
		t.row(role, c.Host, c.Domain, "", c.Peers)
	}
	for _, e := range h.Entry {
		t.row("entry", e.Name, e.Domain, e.Calls, e.Peers)
	}
	return t.flush()
}

func (a *App) setHosts(ctx context.Context) error {
	p, err := os.ReadFile(a.file)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	if _, err := kqcontract.ParseHosts(p); err != nil {
		return errors.Wrap(err, a.file)
	}
	q, err := a.changeQuery()
	if err != nil {
		return err
	}
	var out changeAnswer
	if err := a.client().Put(ctx, "/v1/hosts"+q, p, &out); err != nil {
		return err
	}
	return a.printChange(out)
}
