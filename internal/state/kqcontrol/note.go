package kqcontrol

import "kumquatglade/internal/state/kqroutes"

// logChange logs the effect of an accepted command: one line for each changed target,
// one for the routes, one for an evacuation and one for the contract.
func (c *Control) logChange(index uint64, out outcome) {
	ch := out.change
	for _, t := range ch.Targets {
		c.cfg.Log.Info().Uint64("revision", ch.Revision).Uint64("index", index).Str("target", t.ID).Str("service", t.Service).
			Str("addr", t.Addr).Str("state", string(t.State)).Int64("boot", t.Boot).Uint64("seq", t.Seq).Msg("control: target changed")
	}
	if ch.Routes != nil {
		c.logRoutes(index, ch.Revision, ch.Routes)
	}
	for _, e := range ch.Evacuations {
		if e.Revision == ch.Revision {
			c.logEvacuation(index, e)
		}
	}
	if ch.Owner != "" {
		c.cfg.Log.Info().Uint64("revision", ch.Revision).Uint64("index", index).Str("owner", ch.Owner).
			Uint64("version", out.result.Accepted.Version).Msg("control: contract accepted")
	}
}

func (c *Control) logRoutes(index, revision uint64, d *kqroutes.Delta) {
	c.cfg.Log.Info().Uint64("revision", revision).Uint64("index", index).Uint64("version", d.Version).Uint64("from", d.From).
		Int("set", len(d.Set)).Int("dropped", len(d.Removed)).Msg("control: routes accepted")
}
