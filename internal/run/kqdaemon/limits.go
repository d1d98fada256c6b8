package kqdaemon

import (
	"context"
	"time"

	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"
)

// limitParams returns the settings for limits of owners.
func (d *Daemon) limitParams() kqtokens.Params {
	s := d.settings.Shared
	return kqtokens.NewParams(s.QuotaWindow.Or(0), s.QuotaOverrun, s.QuotaSlack)
}

// startVoter starts the part of a control host that grants tokens. No message of a peer is
// handled before.
func (d *Daemon) startVoter() (err error) {
	d.voter, err = kqtokens.NewVoter(kqtokens.VoterConfig{
		Params: d.limitParams(), Source: d.control, Link: d.mesh, Changed: d.stateChanged, Clock: kqclock.System{}, Log: d.log.Component("limits"), Metrics: d.metrics,
	})
	return err
}

// pushChanges passes changes of the replicated state on.
func (d *Daemon) pushChanges(list []kqcontract.Change) {
	d.hub.Push(list)
	select {
	case d.stateChanged <- struct{}{}:
	default: // not seen yet
	}
}

// confirmedSource tells the voter of the confirmations that the hub obtains for its
// subscribers, so that limits need none of their own.
type confirmedSource struct {
	*kqcontrol.Control
	voter *kqtokens.Voter
}

// Confirm implements kqfeed.Source.
func (s confirmedSource) Confirm(ctx context.Context) error { return s.confirm(ctx, s.Control.Confirm) }

// ConfirmLazily implements kqfeed.Source.
func (s confirmedSource) ConfirmLazily(ctx context.Context) error {
	return s.confirm(ctx, s.Control.ConfirmLazily)
}

func (s confirmedSource) confirm(ctx context.Context, confirm func(context.Context) error) error {
	began := time.Now()
	err := confirm(ctx)
	if err == nil {
		s.voter.Confirmed(began)
	}
	return err
}

// newAsker returns the part of an entry host that asks control hosts for tokens.
func (d *Daemon) newAsker() *kqtokens.Asker {
	return kqtokens.NewAsker(kqtokens.AskerConfig{
		HostConfig: kqtokens.HostConfig{Params: d.limitParams(), Rand: newRand(), Voters: d.controlNames, Fleet: d.fleet},
		Version:    d.routesVersion, Link: d.mesh, Clock: kqclock.System{}, Log: d.log.Component("limits"), Metrics: d.metrics,
	})
}

// routesVersion returns the version of the routes in force on this entry host.
func (d *Daemon) routesVersion() uint64 {
	if v := d.follower.LatestView(); v != nil && v.Routes != nil {
		return v.Routes.Version
	}
	return 0
}

// fleet returns the place of this host among the entry hosts that accept requests.
func (d *Daemon) fleet() kqtokens.Fleet {
	list, rank, listed := d.follower.Listeners(), 0, false
	for _, l := range list {
		if l.Addr < d.settings.Listen.Calls {
			rank++
		}
		listed = listed || l.Addr == d.settings.Listen.Calls
	}
	if !listed {
		rank = -1
	}
	return kqtokens.Fleet{Rank: rank, Size: len(list)}
}
