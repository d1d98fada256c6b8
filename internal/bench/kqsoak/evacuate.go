package kqsoak

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// evacuate orders the evacuation of the failure domain, and its end after a while, also if
// the run ends before.
func (s *soak) evacuate(ctx context.Context, domain string, d time.Duration) error {
	s.evacuations.Lock()
	defer s.evacuations.Unlock()
	ctx = context.WithoutCancel(ctx)
	if err := s.operator.order(ctx, http.MethodPut, domain); err != nil {
		return err
	}
	s.ledger.Evacuated(domain, time.Now())
	time.Sleep(drainBound + d)
	s.ledger.Restored(domain)
	return s.operator.order(ctx, http.MethodDelete, domain)
}

// order sends an order for the domain to one control host after the other until one
// acknowledges it, which repeats it where an answer was lost.
func (o *operator) order(ctx context.Context, method, domain string) error {
	for i := range 5 * len(o.control) {
		switch status, answer := o.doAt(ctx, method, o.control[i%len(o.control)], "/v1/evacuations/"+domain, nil); {
		case status == http.StatusOK:
			return nil
		case status == http.StatusBadRequest:
			return errors.Newf("refused: %s", answer) // its target has not announced itself yet
		}
		time.Sleep(pollInterval)
	}
	o.ledger.AddViolation("%s of the evacuation of %s: no control host acknowledges it", method, domain)
	return errors.Newf("%s of the evacuation of %s is not acknowledged", method, domain)
}

// Evacuated records when the evacuation of a failure domain was acknowledged.
func (l *Ledger) Evacuated(domain string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated[domain] = at
	l.counts.Evacuated++
}

// Restored records that the end of the evacuation is about to be ordered.
func (l *Ledger) Restored(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuated, domain)
}
