package kqcontrol

import (
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqreplica"

	"github.com/cockroachdb/errors"
)

// View calls f with the state, in the loop; f must neither keep nor change the state.
// It returns an error if the replica has stopped, or cannot follow because the disk is
// full.
func (c *Control) View(f func(*kqcontract.State)) error {
	full := false
	err := c.runInLoop(func() {
		c.flush() // reports all changes that f will see
		if full = c.isFull(); !full {
			f(c.machine.state)
		}
	})
	if err == nil && full {
		return errFull
	}
	return err
}

// runInLoop returns once f has run in the loop, or an error if the loop has ended.
func (c *Control) runInLoop(f func()) error {
	ran := make(chan struct{})
	if !c.post(func() { f(); close(ran) }) {
		return errors.New("control: stopped")
	}
	select {
	case <-ran:
		return nil
	case <-c.done:
		return errors.New("control: stopped")
	}
}

// Status is the state of a control host as shown to operators.
type Status struct {
	kqreplica.Status
	Full bool `json:"full,omitempty"` // the disk has no room, so the host takes no part
}

// Status returns the status of the replica as shown to operators. It returns an
// error if the replica has stopped.
func (c *Control) Status() (Status, error) {
	var s Status
	err := c.runInLoop(func() { s = Status{c.replica.Status(), c.isFull()} })
	return s, err
}
