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

// perform performs effects in order: data to save is synced before the next effect
// starts. It returns how many were performed before an error.
func (c *Control) perform(effects []kqreplica.Effect) (done int, err error) {
	for i, e := range effects {
		if err := c.performOne(e); err != nil {
			return i, err
		}
	}
	c.reportChanges()
	return len(effects), nil
}

// reportChanges passes on the changes that came into force since the last call.
func (c *Control) reportChanges() {
	if len(c.pendingChanges) > 0 {
		c.cfg.Changed(c.pendingChanges)
		c.pendingChanges = nil
	}
}

func (c *Control) performOne(e kqreplica.Effect) error {
	switch e := e.(type) {
	case kqreplica.SaveMeta:
		return c.timeSync(func() error { return c.journal.SaveMeta(e.Meta) })
	case kqreplica.SaveEntries:
		return c.timeSync(func() error { return c.journal.Append(e.Entries) })
	case kqreplica.SaveSnapshot:
		c.recordEvent("snapshot", 0, fmt.Sprintf("up to index %d", e.Snapshot.Index))
		return c.timeSync(func() error { return c.journal.SaveSnapshot(e.Snapshot, e.Keep) })
	case kqreplica.Send:
		c.cfg.Link.Send(e.To, MethodReplica, e.Message)
	case kqreplica.Applied:
		c.handleApplied(e)
	case kqreplica.Restored:
		c.recordEvent("restored", c.machine.state.Revision, fmt.Sprintf("up to index %d", e.Index))
		c.reportChanges()
		c.cfg.Restored()
		c.notifyWaiters()
	case kqreplica.ProposalUnanswered:
		c.finishProposal(e.ID, proposalResult{err: errRetry})
	case kqreplica.ReadResult:
		c.finishRead(e)
	case kqreplica.StatusChanged:
		c.handleStatusChange(e)
	case kqreplica.Halt:
		return errors.Newf("control: %s", e.Reason)
	}
	return nil
}

func (c *Control) timeSync(save func() error) error {
	began := c.cfg.Clock.Now()
	err := save()
	c.syncTimer.Update(c.cfg.Clock.Now().Sub(began))
	return err
}

func (c *Control) handleApplied(e kqreplica.Applied) {
	out := e.Result.(outcome)
	if out.change != nil {
		if out.change.Evacuations == nil { // logChange records these
			c.recordEvent("accepted", out.change.Revision, fmt.Sprintf("%s version %d", out.result.Accepted.Owner, out.result.Accepted.Version))
		}
		c.logChange(e.Index, out)
		c.pendingChanges = append(c.pendingChanges, *out.change)
	}
	if e.ID != "" {
		c.finishProposal(e.ID, proposalResult{result: out.result})
	}
	c.notifyWaiters()
}

func (c *Control) finishProposal(id string, a proposalResult) {
	if ready, ok := c.pendingProposals[id]; ok {
		delete(c.pendingProposals, id)
		ready <- a
	}
}

func (c *Control) finishRead(e kqreplica.ReadResult) {
	if ready, ok := c.pendingReads[e.ID]; ok {
		delete(c.pendingReads, e.ID)
		ready <- e
	}
}

// notifyWaiters releases the waiters whose index has been applied.
func (c *Control) notifyWaiters() {
	applied := c.replica.Status().Applied
	rest := c.indexWaiters[:0]
	for _, w := range c.indexWaiters {
		if w.index <= applied {
			close(w.ready)
			continue
		}
		rest = append(rest, w)
	}
	c.indexWaiters = rest
}

func (c *Control) handleStatusChange(e kqreplica.StatusChanged) {
	c.mu.Lock()
	c.leader = e.Leader
	c.mu.Unlock()
	c.cfg.Log.Infof("%s in term %d, leader %q", e.Role, e.Term, e.Leader)
	c.recordEvent("role", 0, fmt.Sprintf("%s in term %d, leader %q", e.Role, e.Term, e.Leader))
	c.cfg.MembersChanged(e.Members)
}

func (c *Control) recordEvent(kind string, change uint64, text string) {
	c.cfg.Events.Add(kqevent.Event{Component: "control", Kind: kind, ContractRevision: change, Text: text})
}
