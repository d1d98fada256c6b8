package kqtokens

import "time"

// Params bound the requests of an owner in one window: (rate x Window + burst) x (1 + Overrun)
// + Slack. The parts of that bound are used as follows, for n voters:
//
//   - Buckets grant at most rate x t + burst + n x rounding(n) tokens in any time t: the shares
//     add up to the rate and the burst, and each bucket is deeper than its share by rounding(n).
//   - A voter that starts has startTokens in each bucket: n more if all start within a window.
//   - A token is used within Life of the message that asked for it, so the requests of a window
//     were granted within Window + Life: at most rate x Window x Overrun more.
//   - Hosts that no voter answers send spare(burst, n) requests together in a window, which is
//     at most Slack - n x (rounding(n) + startTokens) + Overrun x burst.
//
// The sum is rate x Window x (1 + Overrun) + burst x (1 + Overrun) + Slack at most. With fewer
// than 2 requests of Slack for each voter it exceeds the bound by what is missing.
type Params struct {
	Window  time.Duration
	Overrun float64
	Slack   float64 // requests
}

// Defaults for settings without a window.
const (
	defaultWindow  = 5 * time.Second
	defaultOverrun = 0.1
	defaultSlack   = 20
)

// NewParams returns the parameters, or the defaults if window is 0.
func NewParams(window time.Duration, overrun, slack float64) Params {
	if window <= 0 {
		return Params{defaultWindow, defaultOverrun, defaultSlack}
	}
	return Params{window, overrun, slack}
}

// minLife is the shortest Life: a few round trips between entry host and voter on a link that
// is in use. Settings with a smaller product of window and overrun exceed their bound by the
// rate times the difference.
const minLife = 40 * time.Millisecond

// lifeShare is the part of Overrun that Life takes. The rest covers requests that take long from
// the first byte to the target, as bodies on a slow link do.
const lifeShare = 0.8

// Life returns how long after a message the tokens that it asked for may be used.
func (p Params) Life() time.Duration {
	return max(time.Duration(lifeShare*p.Overrun*float64(p.Window)), minLife)
}

const (
	// startTokens are in each bucket of a voter that starts, which does not know what it
	// granted before. Without any, owners of few requests per second would get none for
	// several seconds after all voters restarted.
	startTokens = 1

	// minRounding is the least depth of a bucket on top of its share of the burst: a share
	// below one request could never be used without it.
	minRounding = 1

	// voterSlack is the part of Slack that goes into rounding and startTokens. The deeper the
	// buckets, the more of a limit without a burst is usable; the rest is for hosts that reach
	// no voter.
	voterSlack = 0.8

	// spareShare leaves room for entry hosts whose lists of each other differ for a moment.
	spareShare = 0.8
)

// rounding returns the depth of a bucket on top of its share of the burst.
func (p Params) rounding(voters int) float64 {
	return max(voterSlack*p.Slack/float64(voters)-startTokens, minRounding)
}

// spare returns how many requests of an owner all entry hosts together may send in a window
// without tokens.
func (p Params) spare(burst float64, voters int) int {
	n := float64(max(voters, 1))
	return int(max(spareShare*(p.Slack-n*(p.rounding(max(voters, 1))+startTokens)+p.Overrun*burst), 0))
}

// age returns the time since then, by the monotonic or the wall clock, whichever says more: a
// host that was suspended as a whole has a monotonic clock that stood still.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
