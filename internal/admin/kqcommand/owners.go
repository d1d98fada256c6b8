package kqcommand

import (
	"context"
	"fmt"
	"strings"

	"kumquatglade/internal/call/kqproxy"
)

func (a *App) addOwners() {
	a.addCommand(a.parser, "owners", "show the owners, their limits, and what one host did with their requests", a.owners)
}

func (a *App) owners(ctx context.Context) error {
	var out kqproxy.OwnersUsage
	if err := a.client().Get(ctx, "/v1/owners", &out); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(out)
	}
	if len(out.Owners) == 0 {
		fmt.Fprintf(a.out, "routes version %d has no owners\n", out.Version)
		return nil
	}
	t := a.table("OWNER", "PRIORITY", "RATE", "BURST", "KEYS", "REGIONS", "ANSWERED", "FAILED", "REFUSED")
	for _, o := range out.Owners {
		priority, rate := "", "no limit"
		if o.Priority != nil {
			priority = fmt.Sprint(*o.Priority)
		}
		if o.Rate > 0 {
			rate = fmt.Sprint(o.Rate)
		}
		t.row(o.Name, priority, rate, o.Burst, o.Keys, strings.Join(o.Regions, ","), o.Answered, o.Failed, formatCounts(o.Refused))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if out.Host != "" {
		fmt.Fprintf(a.out, "refused for their key by %s: %s\n", out.Host, formatCounts(out.Refused))
	}
	return nil
}

// formatCounts lists the counts that are not 0 by name.
func formatCounts(m map[string]uint64) string {
	var list []string
	for _, name := range sortedKeys(m) {
		if m[name] > 0 {
			list = append(list, fmt.Sprintf("%s %d", name, m[name]))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
