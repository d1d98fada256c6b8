package kqcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
)

// routesAnswer is the answer to a change of the routes.
type routesAnswer struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Taken   bool   `json:"taken"`
}

func (a *App) addRoutes() {
	g := a.addGroup("routes", "write, read and check the routes")
	apply := a.addCommand(g, "apply", "put routes from a file in force", a.applyRoutes)
	apply.AddPositionalValue(&a.file, "file", 1, true, "routes document")
	a.addCommand(g, "get", "print the routes in force", a.getRoutes)
	a.addCommand(g, "history", "list the versions that were in force", a.routesHistory)
	a.addCheck(g)
}

func (a *App) readRoutes() ([]byte, *kqroutes.Document, error) {
	p, err := os.ReadFile(a.file)
	if err != nil {
		return nil, nil, errors.Mark(err, errUsage)
	}
	doc, err := kqroutes.Parse(p)
	return p, doc, errors.Wrap(err, a.file)
}

func (a *App) applyRoutes(ctx context.Context) error {
	p, doc, err := a.readRoutes()
	if err != nil {
		return err
	}
	var out routesAnswer
	if err := a.client().Put(ctx, "/v1/routes", p, &out); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(out)
	}
	if !out.Taken {
		fmt.Fprintf(a.out, "version %d changes nothing: version %d is in force\n", doc.Version, out.Version)
		return nil
	}
	fmt.Fprintf(a.out, "version %d is accepted, hash %s\n", out.Version, out.Hash)
	return nil
}

func (a *App) getRoutes(ctx context.Context) error {
	var doc json.RawMessage
	if err := a.client().Get(ctx, "/v1/routes", &doc); err != nil {
		return err
	}
	return a.printJSON(doc)
}

func (a *App) routesHistory(ctx context.Context) error {
	var list []kqroutes.AcceptedVersion
	if err := a.client().Get(ctx, "/v1/routes/history", &list); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(list)
	}
	t := a.table("VERSION", "HASH", "REVISION", "TIME")
	for _, v := range list {
		t.row(fmt.Sprint(v.Version), v.Hash, fmt.Sprint(v.Revision), v.Time.Format(time.RFC3339))
	}
	return t.flush()
}
