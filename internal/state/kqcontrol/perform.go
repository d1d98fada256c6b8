package kqcontrol

import (
	"fmt"

	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

func (c *Control) newID() string {
	c.nextID++
	return fmt.Sprintf("%s-%d", c.cfg.Link.Host(), c.nextID)
}

// perform carries out effects in order; what must last is synced before any
// later effect is seen. An error is final.
func (c *Control) perform(effects []kqreplica.Effect) error {
	for _, e := range effects {
		if err := c.performOne(e); err != nil {
			return err
		}
	}
	c.tellChanges()
	return nil
}

// tellChanges passes on what came in force since the last time.
func (c *Control) tellChanges() {
	if len(c.changes) > 0 {
		c.cfg.Changed(c.changes)
		c.changes = nil
	}
}

func (c *Control) performOne(e kqreplica.Effect) error {
	switch e := e.(type) {
	case kqreplica.SaveMeta:
		return c.timed(func() error { return c.journal.SaveMeta(e.Meta) })
	case kqreplica.SaveEntries:
		return c.timed(func() error { return c.journal.Append(e.Entries) })
	case kqreplica.SaveSnapshot:
		c.event("snapshot", 0, fmt.Sprintf("up to index %d", e.Snapshot.Index))
		return c.timed(func() error { return c.journal.SaveSnapshot(e.Snapshot, e.Keep) })
	case kqreplica.Send:
		c.cfg.Link.Send(e.To, MethodReplica, e.Message)
	case kqreplica.Applied:
		c.applied(e)
	case kqreplica.Restored:
		c.event("restored", c.machine.state.Revision, fmt.Sprintf("up to index %d", e.Index))
		c.tellChanges()
		c.cfg.Restored()
		c.wake()
	case kqreplica.ProposalUnanswered:
		c.finish(e.ID, answer{err: errRetry})
	case kqreplica.ReadResult:
		c.readable(e)
	case kqreplica.StatusChanged:
		c.changed(e)
	case kqreplica.Halt:
		return errors.Newf("control: %s", e.Reason)
	}
	return nil
}

func (c *Control) timed(save func() error) error {
	began := c.cfg.Clock.Now()
	err := save()
	c.syncs.Update(c.cfg.Clock.Now().Sub(began))
	return err
}

func (c *Control) applied(e kqreplica.Applied) {
	out := e.Result.(outcome)
	if out.change != nil {
		c.event("accepted", out.change.Revision, fmt.Sprintf("%s version %d", out.result.Accepted.Owner, out.result.Accepted.Version))
		c.note(e.Index, out)
		c.changes = append(c.changes, *out.change)
	}
	if e.ID != "" {
		c.finish(e.ID, answer{result: out.result})
	}
	c.wake()
}

func (c *Control) finish(id string, a answer) {
	if ready, ok := c.proposals[id]; ok {
		delete(c.proposals, id)
		ready <- a
	}
}

func (c *Control) readable(e kqreplica.ReadResult) {
	if ready, ok := c.reads[e.ID]; ok {
		delete(c.reads, e.ID)
		ready <- e
	}
}

// wake ends the waits whose index is applied.
func (c *Control) wake() {
	applied := c.replica.Status().Applied
	rest := c.waiting[:0]
	for _, w := range c.waiting {
		if w.index <= applied {
			close(w.ready)
			continue
		}
		rest = append(rest, w)
	}
	c.waiting = rest
}

func (c *Control) changed(e kqreplica.StatusChanged) {
	c.mu.Lock()
	c.leader = e.Leader
	c.mu.Unlock()
	c.cfg.Log.Infof("%s in term %d, leader %q", e.Role, e.Term, e.Leader)
	c.event("role", 0, fmt.Sprintf("%s in term %d, leader %q", e.Role, e.Term, e.Leader))
	c.cfg.Members(e.Members)
}

func (c *Control) event(kind string, change uint64, text string) {
	c.cfg.Events.Add(kqevent.Event{Component: "control", Kind: kind, ContractRevision: change, Text: text})
}
