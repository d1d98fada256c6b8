package kqcontrol

import (
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// A full disk refuses writes for a while and then has room again. Until then this host
// behaves as if it were cut off: the effects wait in order, so that nothing is
// acknowledged or voted that is not saved, and messages to and from the other control
// hosts are dropped, so that nothing piles up. A leader resigns first. Commands are still
// passed on to a leader elsewhere.

// fullRetryInterval is the time between two tries to write. A try may encode a snapshot.
const fullRetryInterval = 200 * time.Millisecond

// errFull is returned for what needs the replica of a host whose disk is full; it may be
// tried again.
var errFull = errors.New("control: the disk is full")

func (c *Control) isFull() bool { return !c.fullSince.IsZero() }

// performOrWait performs effects. If the disk has no room, the rest waits for it. After
// an error the replica must stop.
func (c *Control) performOrWait(effects []kqreplica.Effect) error {
	done, err := c.perform(effects)
	if !errors.Is(err, kq.ErrFull) {
		return err
	}
	c.pendingEffects = effects[done:]
	if !c.isFull() {
		c.becomeFull(err)
	}
	return nil
}

func (c *Control) becomeFull(cause error) {
	c.fullSince = c.cfg.Clock.Now()
	c.fullTriedAt = c.fullSince
	c.fullGauge().Update(1)
	c.cfg.Log.Errorf("the disk is full, taking no part until it has room: %v", cause)
	c.recordEvent("full", 0, cause.Error())
	// None of these effects saves anything, so they need not wait behind the others.
	resignation := c.replica.Reduce(c.cfg.Clock.Now(), kqreplica.DiskFull{})
	if _, err := c.perform(resignation); err != nil {
		c.cfg.Log.Errorf("cannot resign: %v", err)
	}
	for _, p := range c.newProposals {
		c.finishProposal(p.ID, proposalResult{err: errFull})
	}
	c.newProposals = nil
}

// retryFull performs the waiting effects if the disk has room again.
func (c *Control) retryFull() {
	now := c.cfg.Clock.Now()
	if now.Sub(c.fullTriedAt) < fullRetryInterval {
		return
	}
	c.fullTriedAt = now
	list := c.pendingEffects
	c.pendingEffects = nil
	if err := c.performOrWait(list); err != nil {
		c.fail(err)
		return
	}
	if len(c.pendingEffects) > 0 {
		return
	}
	c.cfg.Log.Infof("the disk has room again after %s", c.cfg.Clock.Now().Sub(c.fullSince).Round(time.Millisecond))
	c.recordEvent("room", 0, "the disk has room again")
	c.fullSince = time.Time{}
	c.fullGauge().Update(0)
}

// reduceWhileFull passes on which links are up. All other events are dropped, and so are
// messages to send, as on a broken link.
func (c *Control) reduceWhileFull(ev kqreplica.Event) {
	switch ev.(type) {
	case kqreplica.LinkUp, kqreplica.LinkDown:
	default:
		return
	}
	for _, e := range c.replica.Reduce(c.cfg.Clock.Now(), ev) {
		if _, ok := e.(kqreplica.Send); !ok {
			c.pendingEffects = append(c.pendingEffects, e)
		}
	}
}

func (c *Control) fullGauge() metrics.Gauge {
	return metrics.GetOrRegisterGauge("control.full", c.cfg.Metrics)
}
