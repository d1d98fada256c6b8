package kqcommand

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/cockroachdb/errors"
)

// change is the answer to an accepted change.
type changeAnswer struct {
	kqcontract.Accepted
	Repeat  bool             `json:"repeat"`
	InForce *kqcontrol.Reach `json:"inforce"`
}

func (a *App) addContract() {
	g := a.addGroup("contract", "write, read and check contracts")
	apply := a.addCommand(g, "apply", "accept a contract from a file", a.apply)
	apply.AddPositionalValue(&a.file, "file", 1, true, "contract document")
	apply.String(&a.wait, "w", "wait", "wait so long until in force on all entry hosts, such as 5s")
	get := a.addCommand(g, "get", "print the contract of an owner", a.get)
	get.AddPositionalValue(&a.owner, "owner", 1, true, "owner")
	a.addCommand(g, "list", "list all contracts", a.list)
	remove := a.addCommand(g, "remove", "remove the contract of an owner", a.remove)
	remove.AddPositionalValue(&a.owner, "owner", 1, true, "owner")
	remove.UInt64(&a.version, "v", "version", "version of the removal: one more than the one in force")
	remove.String(&a.wait, "w", "wait", "wait so long until in force on all entry hosts")
	history := a.addCommand(g, "history", "list accepted versions", a.history)
	history.AddPositionalValue(&a.owner, "owner", 1, false, "owner, all if missing")
	check := a.addCommand(g, "check", "validate a contract file, without a server", a.check)
	check.AddPositionalValue(&a.file, "file", 1, true, "contract document")
}

func (a *App) readContract() ([]byte, kqcontract.Contract, error) {
	p, err := os.ReadFile(a.file)
	if err != nil {
		return nil, kqcontract.Contract{}, errors.Mark(err, errUsage)
	}
	c, err := kqcontract.Parse(p)
	return p, c, errors.Wrap(err, a.file)
}

// query returns the query string of a change.
func (a *App) changeQuery(extra ...string) (string, error) {
	v := url.Values{}
	for i := 0; i+1 < len(extra); i += 2 {
		v.Set(extra[i], extra[i+1])
	}
	if a.wait != "" {
		if _, err := time.ParseDuration(a.wait); err != nil {
			return "", errors.Mark(err, errUsage)
		}
		v.Set("wait", a.wait)
	}
	if len(v) == 0 {
		return "", nil
	}
	return "?" + v.Encode(), nil
}

func (a *App) apply(ctx context.Context) error {
	p, c, err := a.readContract()
	if err != nil {
		return err
	}
	q, err := a.changeQuery()
	if err != nil {
		return err
	}
	var out changeAnswer
	if err := a.client().Put(ctx, "/v1/contracts/"+c.Owner+q, p, &out); err != nil {
		return err
	}
	return a.printChange(out)
}

func (a *App) printChange(c changeAnswer) error {
	if a.json {
		return a.printJSON(c)
	}
	what := "accepted"
	if c.Repeat {
		what = "accepted before"
	}
	fmt.Fprintf(a.out, "%s version %d %s at %s, revision %d\n", c.Owner, c.Version, what, c.Time.Format(time.RFC3339), c.Revision)
	if c.InForce == nil {
		return nil
	}
	fmt.Fprintf(a.out, "in force on %d of %d entry hosts\n", c.InForce.Hosts, c.InForce.Of)
	if len(c.InForce.Missing) > 0 {
		fmt.Fprintf(a.out, "not reached yet: %s\n", strings.Join(c.InForce.Missing, ", "))
	}
	return nil
}

func (a *App) get(ctx context.Context) error {
	var c kqcontract.Contract
	if err := a.client().Get(ctx, "/v1/contracts/"+a.owner, &c); err != nil {
		return err
	}
	return a.printJSON(c)
}

func (a *App) list(ctx context.Context) error {
	var doc kqcontrol.Document
	if err := a.client().Get(ctx, "/v1/contracts", &doc); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(doc)
	}
	t := a.table("OWNER", "VERSION", "SERVICES")
	for _, owner := range sortedKeys(doc.Contracts) {
		c := doc.Contracts[owner]
		var names []string
		for _, s := range c.Services {
			names = append(names, s.Name)
		}
		t.row(owner, c.Version, strings.Join(names, ","))
	}
	return t.flush()
}

func (a *App) remove(ctx context.Context) error {
	if a.version == 0 {
		return errors.Mark(errors.New("--version is required: one more than the one in force"), errUsage)
	}
	q, err := a.changeQuery("version", fmt.Sprint(a.version))
	if err != nil {
		return err
	}
	var out changeAnswer
	if err := a.client().Delete(ctx, "/v1/contracts/"+a.owner+q, &out); err != nil {
		return err
	}
	return a.printChange(out)
}

func (a *App) history(ctx context.Context) error {
	var list []kqcontract.Accepted
	if err := a.client().Get(ctx, "/v1/history?owner="+url.QueryEscape(a.owner), &list); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(list)
	}
	t := a.table("REVISION", "OWNER", "VERSION", "TIME", "HASH")
	for _, h := range list {
		hash := h.Hash
		if hash == "" {
			hash = "(removed)"
		}
		t.row(h.Revision, h.Owner, h.Version, h.Time.Format(time.RFC3339), hash)
	}
	return t.flush()
}

func (a *App) check(context.Context) error {
	_, c, err := a.readContract()
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: owner %s version %d, %d services, hash %s\n", a.file, c.Owner, c.Version, len(c.Services), c.Hash())
	return nil
}
