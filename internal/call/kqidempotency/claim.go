package kqidempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"kumquatglade/internal/route/kqguard"
)

// Decision says how to handle a call with an idempotency key.
type Decision string

// Decisions.
const (
	Run       Decision = "run"      // a majority of the guards granted the claim: send the call once
	Replay    Decision = "kept"     // an earlier call with the key ran: return its stored response
	KeyReused Decision = "other"    // the key was used for a different request
	Claimed   Decision = "claimed"  // another call with the key is in flight, or ran without a stored response
	NoQuorum  Decision = "unguided" // too few guards responded: do not send the call
)

// Claim is the claim of one call on its idempotency key.
type Claim struct {
	Decision Decision
	Response *kqguard.Response // set if Decision is Replay

	coordinator *Coordinator
	key         string
	call        string
	guards      []string
}

// Request describes a call with an idempotency key.
type Request struct {
	Owner, Service, Key string
	Method, Path        string
	Body                []byte
	Call                string // unique across all hosts and their restarts
}

// keyID returns an identifier of the key that is unique across owners and services.
func (r Request) keyID() string {
	sum := sha256.Sum256([]byte(r.Owner + "\x00" + r.Service + "\x00" + r.Key))
	return hex.EncodeToString(sum[:16])
}

// fingerprint returns a hash of method, path and body, which detects a key that is
// reused for a different request.
func (r Request) fingerprint() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", r.Method, r.Path)
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Claim claims the key of a request at its guards and returns the decision. It
// waits no longer than a grant is valid; unless the call may run, it releases the
// claim.
func (co *Coordinator) Claim(ctx context.Context, r Request) *Claim {
	co.mu.Lock()
	epoch, hosts := co.epoch, co.hosts
	co.mu.Unlock()
	c := &Claim{coordinator: co, key: r.keyID(), call: r.Call, guards: kqguard.SelectGuards(r.keyID(), hosts)}
	guardClaim := kqguard.Claim{Key: c.key, Fingerprint: r.fingerprint(), Call: r.Call, Epoch: epoch}
	c.Decision, c.Response = decide(c.requestClaims(ctx, guardClaim), guardClaim.Fingerprint, len(hosts))
	if c.Decision != Run {
		c.Release()
	}
	return c
}

// requestClaims sends the claim to all guards and returns their replies, at the
// latest when a majority has granted it. A guard that cannot be reached abstains.
func (c *Claim) requestClaims(ctx context.Context, guardClaim kqguard.Claim) []kqguard.Reply {
	ctx, cancel := context.WithTimeout(ctx, kqguard.ClaimTimeout)
	defer cancel()
	replies := make(chan kqguard.Reply, len(c.guards))
	for _, g := range c.guards {
		go func() {
			var r kqguard.Reply
			if err := c.coordinator.cfg.Link.Call(ctx, g, MethodClaim, guardClaim, &r); err != nil {
				r = kqguard.Reply{Outcome: kqguard.Abstain}
			}
			replies <- r
		}()
	}
	received := make([]kqguard.Reply, 0, len(c.guards))
	granted := 0
	for range c.guards {
		r := <-replies
		received = append(received, r)
		if r.Outcome == kqguard.Granted {
			granted++
		}
		if granted >= kqguard.Majority(len(c.guards)) {
			break // a majority suffices: do not wait for a slow guard
		}
	}
	return received
}

// decide derives the decision, and the stored response if there is one, from the
// guards' replies.
func decide(replies []kqguard.Reply, fingerprint string, hostCount int) (Decision, *kqguard.Response) {
	granted := 0
	for _, r := range replies {
		switch r.Outcome {
		case kqguard.Granted:
			granted++
		case kqguard.Done, kqguard.Held:
			if r.Fingerprint != fingerprint {
				return KeyReused, nil
			}
			if r.Outcome == kqguard.Done {
				return Replay, r.Response
			}
		}
	}
	if hostCount > 0 && granted >= kqguard.Majority(hostCount) {
		return Run, nil
	}
	for _, r := range replies {
		if r.Outcome == kqguard.Held {
			return Claimed, nil
		}
	}
	return NoQuorum, nil
}

// StoreResponse sends the target's response to the guards in the background.
func (c *Claim) StoreResponse(a kqguard.Response) {
	c.notifyGuards(MethodStore, outcome{Key: c.key, Call: c.call, Response: &a})
}

// Release withdraws the claim at the guards in the background. It must be called
// only if the call certainly did not run.
func (c *Claim) Release() {
	c.notifyGuards(MethodRelease, outcome{Key: c.key, Call: c.call})
}

// notifyGuards sends the outcome to each guard in the background, with a few
// retries while a guard does not respond.
func (c *Claim) notifyGuards(method string, o outcome) {
	for _, g := range c.guards {
		c.coordinator.wg.Go(func() {
			for range notifyAttempts {
				ctx, cancel := context.WithTimeout(c.coordinator.ctx, kqguard.ClaimTimeout)
				err := c.coordinator.cfg.Link.Call(ctx, g, method, o, nil)
				cancel()
				if err == nil {
					return
				}
				select {
				case <-c.coordinator.ctx.Done():
					return
				case <-time.After(kqguard.ClaimTimeout):
				}
			}
		})
	}
}
