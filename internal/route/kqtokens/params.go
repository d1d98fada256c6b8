package kqtokens

import "time"

// Params bound the requests of an owner in one window: (rate x Window + burst) x (1 + Overrun)
// + Slack. The parts of that bound are used as follows, for n voters:
//
//   - Buckets grant at most rate x t + burst + n tokens in any time t: the shares add up to the
//     rate and the burst, and each depth has one token more (rounding).
//   - A voter that starts has one token in each bucket: n more if all start within a window.
//   - A token is used within Life of the message that asked for it, so the requests of a window
//     were granted within Window + Life: rate x Window x Overrun more.
//   - Hosts without an answer from any voter send Spare requests together in a window, which is
//     at most Slack - 2n + Overrun x burst.
//
// The sum is rate x Window x (1 + Overrun) + burst + 2n + Spare, and not above the bound.
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

// Life returns how long after a message the tokens that it asked for may be used.
func (p Params) Life() time.Duration {
	return max(time.Duration(p.Overrun*float64(p.Window)), minLife)
}

// roundedPerVoter is what a bucket may exceed its share by: one token of depth, and one at the
// start of the voter.
const roundedPerVoter = 2

// spareShare leaves room for entry hosts whose lists of each other differ for a moment.
const spareShare = 0.8

// Spare returns how many requests of an owner all entry hosts together may send in a window
// without tokens.
func (p Params) Spare(burst float64, voters int) int {
	return int(max(spareShare*(p.Slack-roundedPerVoter*float64(voters)+p.Overrun*burst), 0))
}

// age returns the time since then, by the monotonic or the wall clock, whichever says more: a
// host that was suspended as a whole has a monotonic clock that stood still.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
