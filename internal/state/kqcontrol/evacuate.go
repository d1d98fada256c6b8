package kqcontrol

import (
	"context"
	"slices"
	"time"

	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

// errSuperseded means that the same order and then its opposite were committed while this
// order was under way. Carrying it out now could undo the opposite, which may have been
// acknowledged since the caller gave this one up; a caller that still waits may repeat it.
var errSuperseded = errors.New("superseded by a later order")

// Evacuate implements Store. The order names the entry that a quorum confirmed, so that it
// changes nothing if it reaches the log after any other order for the domain.
func (l LocalStore) Evacuate(ctx context.Context, domain string, on bool) (kqcontract.Evacuation, error) {
	entry, err := l.confirmedEvacuation(ctx, domain)
	if err != nil || entry.On == on {
		return entry, err
	}
	return l.order(ctx, entry, on)
}

// order changes the confirmed entry of a failure domain.
func (l LocalStore) order(ctx context.Context, entry kqcontract.Evacuation, on bool) (kqcontract.Evacuation, error) {
	domain := entry.Domain
	order := &kqcontract.EvacuationOrder{Domain: domain, On: on, Revision: entry.Revision}
	res, err := l.Submit(ctx, kqcontract.Command{Op: kqcontract.OpEvacuate, Evacuate: order})
	switch {
	case err != nil:
		return entry, err
	case res.Refused == kqcontract.ReasonStale:
		entry, err = l.confirmedEvacuation(ctx, domain)
		if err == nil && entry.On != on {
			err = errors.Wrapf(errSuperseded, "evacuation of %s: revision %d", domain, entry.Revision)
		}
		return entry, err
	case res.Refused != "":
		return entry, errors.Newf("evacuation of %s: refused: %s", domain, res.Refused)
	}
	return kqcontract.Evacuation{Domain: domain, On: on, Revision: res.Accepted.Revision, Time: res.Accepted.Time}, nil
}

// logEvacuation logs and records the entry of a failure domain that a command changed.
func (c *Control) logEvacuation(index uint64, e kqcontract.Evacuation) {
	kind, text := "evacuated", "control: evacuation accepted"
	if !e.On {
		kind, text = "restored", "control: end of evacuation accepted"
	}
	c.cfg.Log.Info().Uint64("revision", e.Revision).Uint64("index", index).Str("domain", e.Domain).Msg(text)
	c.recordEvent(kind, e.Revision, "domain "+e.Domain)
}

// confirmedEvacuation returns the entry of a known domain, confirmed by a quorum before ctx
// ended. A process that was stopped for long may run on before the timer of ctx does.
func (l LocalStore) confirmedEvacuation(ctx context.Context, domain string) (kqcontract.Evacuation, error) {
	entry, known := kqcontract.Evacuation{Domain: domain}, false
	if domain == "" {
		return entry, kqcontract.ErrUnknownDomain
	}
	if err := l.Confirm(ctx); err != nil {
		return entry, err
	}
	err := l.View(func(s *kqcontract.State) {
		entry = s.Evacuation(domain)
		known = entry.Revision > 0 || slices.Contains(l.cfg.Domains, domain) || s.Targets.HasDomain(domain)
	})
	if end, ok := ctx.Deadline(); err == nil && ok && !time.Now().Before(end) {
		err = context.DeadlineExceeded
	}
	if err == nil && !known {
		err = errors.Wrapf(kqcontract.ErrUnknownDomain, "evacuation of %q", domain)
	}
	return entry, err
}

// EvacuatedDomains returns the failure domains that are evacuated by this host's state, which
// may lag; none if the replica has stopped.
func (l LocalStore) EvacuatedDomains() (names []string) {
	err := l.View(func(s *kqcontract.State) { names = kqcontract.EvacuatedDomains(s.Evacuations) })
	if err != nil {
		l.cfg.Log.Debugf("evacuations are not known: %v", err)
	}
	return names
}

// evacuateRequest is an order that a host without a replica passes on.
type evacuateRequest struct {
	Domain string        `json:"domain"`
	On     bool          `json:"on"`
	Wait   time.Duration `json:"wait"` // how long the caller still waits
}

type evacuateReply struct {
	Entry   kqcontract.Evacuation `json:"entry"`
	Unknown bool                  `json:"unknown,omitempty"` // the domain is unknown
}

func (l LocalStore) answerEvacuate(ctx context.Context, r evacuateRequest) (evacuateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	entry, err := l.Evacuate(ctx, r.Domain, r.On)
	if errors.Is(err, kqcontract.ErrUnknownDomain) {
		return evacuateReply{Unknown: true}, nil
	}
	return evacuateReply{Entry: entry}, err
}

// Evacuate implements Store.
func (r RemoteStore) Evacuate(ctx context.Context, domain string, on bool) (kqcontract.Evacuation, error) {
	req := evacuateRequest{Domain: domain, On: on, Wait: requestTimeout}
	if end, ok := ctx.Deadline(); ok {
		req.Wait = min(req.Wait, time.Until(end))
	}
	var out evacuateReply
	err := r.call(ctx, MethodEvacuate, req, &out)
	if err == nil && out.Unknown {
		err = errors.Wrapf(kqcontract.ErrUnknownDomain, "evacuation of %q", domain)
	}
	return out.Entry, err
}
