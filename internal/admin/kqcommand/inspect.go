package kqcommand

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdirectory"
)

// eventFilter selects events of the timeline; empty fields match all.
type eventFilter struct {
	Owner, Target, Call, Host, Component, Since string
	ContractRevision                            uint64
}

func (f eventFilter) matches(e kqevent.Event) bool {
	matches := func(want, have string) bool { return want == "" || want == have }
	return matches(f.Owner, e.Owner) && matches(f.Target, e.Target) && matches(f.Call, e.Call) &&
		matches(f.Host, e.Host) && matches(f.Component, e.Component) && (f.ContractRevision == 0 || f.ContractRevision == e.ContractRevision)
}

func (a *App) addInspect() {
	a.addCommand(a.parser, "status", "show all hosts", a.status)
	a.addCommand(a.parser, "targets", "show the targets that one entry host knows", a.targets)
	account := a.addCommand(a.parser, "account", "show what went wrong for an owner's callers", a.account)
	account.AddPositionalValue(&a.owner, "owner", 1, true, "owner")
	t := a.addCommand(a.parser, "timeline", "show the events of all hosts in their order", a.timeline)
	t.String(&a.filter.Owner, "o", "owner", "only events of the owner")
	t.String(&a.filter.Target, "t", "target", "only events of the target")
	t.String(&a.filter.Call, "c", "call", "only events of the call")
	t.String(&a.filter.Host, "", "host", "only events of the host")
	t.String(&a.filter.Component, "p", "part", "only events of the part")
	t.String(&a.filter.Since, "", "since", "only events after the stamp")
	t.UInt64(&a.filter.ContractRevision, "r", "change", "only events of the revision")
}

func (a *App) status(ctx context.Context) error {
	var s struct {
		Hosts   []statusRow `json:"hosts"`
		Missing []string    `json:"missing,omitempty"`
	}
	if err := a.client().Get(ctx, "/v1/status?all=1", &s); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(s)
	}
	t := a.table("HOST", "DOMAIN", "ROLES", "SERVING", "REVISION", "HUB", "REPLICA", "TERM", "CALLS")
	for _, h := range s.Hosts {
		role, term := "", ""
		if h.Replica != nil {
			role, term = h.Replica.Role, fmt.Sprint(h.Replica.Term)
			if h.Replica.Full {
				role = "disk full"
			}
		}
		t.row(h.Host, h.Domain, strings.Join(h.Roles, ","), h.Serving, h.Revision, h.Hub, role, term, h.Calls)
	}
	for _, m := range s.Missing {
		t.row(m, "", "", "no answer", "", "", "", "", "")
	}
	if err := t.flush(); err != nil {
		return err
	}
	inForce := map[string][]string{}
	for _, h := range s.Hosts {
		for _, d := range h.Evacuated {
			inForce[d] = append(inForce[d], h.Host)
		}
	}
	for _, d := range sortedKeys(inForce) {
		fmt.Fprintf(a.out, "domain %s is evacuated on: %s\n", d, strings.Join(inForce[d], ", "))
	}
	return nil
}

// statusRow is a host's status with the fields of the replica that are printed.
type statusRow struct {
	kqadmin.Status
	Replica *struct {
		Role    string `json:"role"`
		Term    uint64 `json:"term"`
		Leader  string `json:"leader"`
		Commit  uint64 `json:"commit"`
		Applied uint64 `json:"applied"`
		Full    bool   `json:"full"`
	} `json:"replica,omitempty"`
}

func (a *App) targets(ctx context.Context) error {
	var list []kqdirectory.Record
	if err := a.client().Get(ctx, "/v1/targets", &list); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(list)
	}
	t := a.table("SERVICE", "TARGET", "ADDR", "DOMAIN", "STATE", "SLOTS", "HOLDER")
	for _, r := range list {
		state := string(r.State)
		if r.Expired {
			state = "expired"
		}
		t.row(r.Service, r.ID, r.Addr, r.Domain, state, r.Slots, r.Holder)
	}
	return t.flush()
}

func (a *App) account(ctx context.Context) error {
	var out struct {
		Rows    []kqaccount.Row `json:"rows"`
		Missing []string        `json:"missing,omitempty"`
	}
	if err := a.client().Get(ctx, "/v1/accounts/"+url.PathEscape(a.owner), &out); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(out)
	}
	t := a.table("SERVICE", "CAUSE", "TARGET", "VERSION", "COUNT", "LAST")
	for _, r := range out.Rows {
		t.row(r.Service, r.Cause, r.Target, r.Version, r.Count, r.Last.Format(time.RFC3339))
	}
	if len(out.Missing) > 0 {
		fmt.Fprintf(a.out, "no answer from: %s\n", strings.Join(out.Missing, ", "))
	}
	return t.flush()
}

func (a *App) timeline(ctx context.Context) error {
	var out struct {
		Events  []kqevent.Event `json:"events"`
		Missing []string        `json:"missing,omitempty"`
	}
	if err := a.client().Get(ctx, "/v1/events?all=1&since="+url.QueryEscape(a.filter.Since), &out); err != nil {
		return err
	}
	if len(out.Missing) > 0 {
		fmt.Fprintf(a.out, "no answer from: %s\n", strings.Join(out.Missing, ", "))
	}
	for _, e := range out.Events {
		if !a.filter.matches(e) {
			continue
		}
		if a.json {
			a.printLine(e)
			continue
		}
		fmt.Fprintln(a.out, formatEvent(e))
	}
	return nil
}

// formatEvent formats one event as one line.
func formatEvent(e kqevent.Event) string {
	at := time.UnixMicro(e.Time.Wall).UTC().Format("15:04:05.000000")
	s := fmt.Sprintf("%s %-8s %-10s %-10s", at, e.Host, e.Component, e.Kind)
	add := func(name, value string) {
		if value != "" {
			s += " " + name + "=" + value
		}
	}
	add("owner", e.Owner)
	add("service", e.Service)
	add("target", e.Target)
	add("call", e.Call)
	add("peer", e.Peer)
	if e.ContractRevision > 0 {
		add("change", fmt.Sprint(e.ContractRevision))
	}
	if e.Text != "" {
		s += " " + e.Text
	}
	return s
}
