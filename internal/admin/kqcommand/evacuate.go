package kqcommand

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"kumquatglade/internal/state/kqcontract"
)

func (a *App) addEvacuate() {
	c := a.addCommand(a.parser, "evacuate", "send nothing more to the targets of a failure domain", a.evacuate)
	c.AddPositionalValue(&a.domain, "domain", 1, true, "failure domain")
	c.Bool(&a.end, "e", "end", "end the evacuation")
	a.addCommand(a.parser, "evacuations", "list failure domains that are or were evacuated", a.evacuations)
}

func (a *App) evacuate(ctx context.Context) error {
	change := func(path string, out any) error { return a.client().Put(ctx, path, nil, out) }
	if a.end {
		change = func(path string, out any) error { return a.client().Delete(ctx, path, out) }
	}
	var out kqcontract.Evacuation
	if err := change("/v1/evacuations/"+url.PathEscape(a.domain), &out); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(out)
	}
	if out.Revision == 0 {
		fmt.Fprintf(a.out, "domain %s was never evacuated\n", out.Domain)
		return nil
	}
	fmt.Fprintf(a.out, "domain %s is %s since %s, revision %d\n", out.Domain, evacuationState(out), out.Time.Format(time.RFC3339), out.Revision)
	return nil
}

func evacuationState(e kqcontract.Evacuation) string {
	if e.On {
		return "evacuated"
	}
	return "in use"
}

func (a *App) evacuations(ctx context.Context) error {
	var list []kqcontract.Evacuation
	if err := a.client().Get(ctx, "/v1/evacuations", &list); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(list)
	}
	t := a.table("DOMAIN", "STATE", "SINCE", "REVISION")
	for _, e := range list {
		t.row(e.Domain, evacuationState(e), e.Time.Format(time.RFC3339), e.Revision)
	}
	return t.flush()
}
