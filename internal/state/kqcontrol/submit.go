package kqcontrol

import (
	"context"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

// Leader returns the leader known to this host, empty if none.
func (c *Control) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Submit sends the command to the leader and returns its result. It retries until
// ctx ends, which is safe because every command is idempotent. An error means that
// the outcome is unknown.
func (c *Control) Submit(ctx context.Context, cmd kqcontract.Command) (kqcontract.Result, error) {
	for {
		res, err := c.submitOnce(ctx, cmd)
		if err == nil {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return kqcontract.Result{}, errors.Wrapf(err, "control: submit to %q", c.Leader())
		case <-c.cfg.after(retryPause):
		}
	}
}

func (cfg *Config) after(d time.Duration) <-chan struct{} {
	ch := make(chan struct{})
	cfg.Clock.AfterFunc(d, func() { close(ch) })
	return ch
}

func (c *Control) submitOnce(ctx context.Context, cmd kqcontract.Command) (kqcontract.Result, error) {
	leader := c.Leader()
	switch leader {
	case "":
		return kqcontract.Result{}, errRetry
	case c.cfg.Link.Host():
		return c.Propose(ctx, cmd)
	default:
		var res kqcontract.Result
		err := c.cfg.Link.Call(ctx, leader, MethodSubmit, cmd, &res)
		return res, err
	}
}

// Propose appends the command to the log if this host is the leader. An error means
// that the outcome is unknown.
func (c *Control) Propose(ctx context.Context, cmd kqcontract.Command) (kqcontract.Result, error) {
	cmd.Time = c.cfg.Clock.Now().UTC()
	data, err := encodeCommand(cmd)
	if err != nil {
		return kqcontract.Result{}, err
	}
	ready := make(chan proposalResult, 1)
	c.post(func() {
		if c.isFull() {
			ready <- proposalResult{err: errFull}
			return
		}
		id := c.newID()
		c.pendingProposals[id] = ready
		c.newProposals = append(c.newProposals, kqreplica.Proposal{ID: id, Data: data})
	})
	select {
	case a := <-ready:
		return a.result, a.err
	case <-ctx.Done():
		return kqcontract.Result{}, ctx.Err()
	case <-c.done:
		return kqcontract.Result{}, errRetry
	}
}

// Confirm returns once this host's state holds every change that was accepted before
// the call, as confirmed by a quorum. It retries until ctx ends and then returns an
// error.
func (c *Control) Confirm(ctx context.Context) error {
	return c.confirm(ctx, false)
}

// ConfirmLazily is Confirm for callers that can wait for the next heartbeat instead
// of causing messages of their own.
func (c *Control) ConfirmLazily(ctx context.Context) error {
	return c.confirm(ctx, true)
}

func (c *Control) confirm(ctx context.Context, lazy bool) error {
	for {
		err := c.confirmOnce(ctx, lazy)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "control: confirm")
		case <-c.cfg.after(retryPause):
		}
	}
}

func (c *Control) confirmOnce(ctx context.Context, lazy bool) error {
	ready := make(chan kqreplica.ReadResult, 1)
	c.post(func() {
		if c.isFull() {
			ready <- kqreplica.ReadResult{}
			return
		}
		id := c.newID()
		c.pendingReads[id] = ready
		c.reduce(kqreplica.Read{ID: id, Lazy: lazy})
	})
	select {
	case res := <-ready:
		if !res.OK {
			return errors.New("no quorum")
		}
		return c.waitApplied(ctx, res.Index)
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errors.New("stopped")
	}
}

func (c *Control) waitApplied(ctx context.Context, index uint64) error {
	ready := make(chan struct{})
	c.post(func() {
		c.indexWaiters = append(c.indexWaiters, indexWaiter{index, ready})
		c.notifyWaiters()
	})
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errors.New("stopped")
	}
}
