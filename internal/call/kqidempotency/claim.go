package kqidempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"kumquatglade/internal/route/kqguard"
)

// Verdict says what may be done with a keyed call.
type Decision string

// Verdicts.
const (
	Run       Decision = "run"      // a majority holds the claim: send it, once
	Replay    Decision = "kept"     // it ran; the kept answer is given again
	KeyReused Decision = "other"    // the key belongs to another request
	Claimed   Decision = "claimed"  // another call with the key runs, or ran with no answer kept
	NoQuorum  Decision = "unguided" // too few guards answer: not run
)

// Claim is the claim of one call.
type Claim struct {
	Decision Decision
	Response *kqguard.Response // for Kept

	coordinator *Coordinator
	key         string
	call        string
	guards      []string
}

// Request names a keyed call.
type Request struct {
	Owner, Service, Key string
	Method, Path        string
	Body                []byte
	Call                string // unique over all hosts and their starts
}

// ID returns the name of the key over all owners and services.
func (r Request) keyID() string {
	sum := sha256.Sum256([]byte(r.Owner + "\x00" + r.Service + "\x00" + r.Key))
	return hex.EncodeToString(sum[:16])
}

// fingerprint tells requests apart that use the same key.
func (r Request) fingerprint() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", r.Method, r.Path)
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Claim asks the guards of the key.
func (k *Coordinator) Claim(ctx context.Context, r Request) *Claim {
	k.mu.Lock()
	epoch, hosts := k.epoch, k.hosts
	k.mu.Unlock()
	c := &Claim{coordinator: k, key: r.keyID(), call: r.Call, guards: kqguard.SelectGuards(r.keyID(), hosts)}
	ask := kqguard.Claim{Key: c.key, Fingerprint: r.fingerprint(), Call: r.Call, Epoch: epoch}
	c.Decision, c.Response = decide(c.requestClaims(ctx, ask), ask.Fingerprint, len(hosts))
	if c.Decision != Run {
		c.Release()
	}
	return c
}

// ask sends the claim to all guards and returns their replies.
func (c *Claim) requestClaims(ctx context.Context, ask kqguard.Claim) []kqguard.Reply {
	ctx, cancel := context.WithTimeout(ctx, kqguard.ClaimTimeout)
	defer cancel()
	replies := make(chan kqguard.Reply, len(c.guards))
	for _, g := range c.guards {
		go func() {
			var r kqguard.Reply
			if err := c.coordinator.cfg.Link.Call(ctx, g, MethodClaim, ask, &r); err != nil {
				r = kqguard.Reply{Outcome: kqguard.Abstain}
			}
			replies <- r
		}()
	}
	list := make([]kqguard.Reply, 0, len(c.guards))
	granted := 0
	for range c.guards {
		r := <-replies
		list = append(list, r)
		if r.Outcome == kqguard.Granted {
			granted++
		}
		if granted >= kqguard.Majority(len(c.guards)) {
			break // the third guard may be slow
		}
	}
	return list
}

// judge says what the replies of a key's guards allow.
func decide(list []kqguard.Reply, request string, hosts int) (Decision, *kqguard.Response) {
	granted := 0
	for _, r := range list {
		switch r.Outcome {
		case kqguard.Granted:
			granted++
		case kqguard.Done, kqguard.Held:
			if r.Fingerprint != request {
				return KeyReused, nil
			}
			if r.Outcome == kqguard.Done {
				return Replay, r.Response
			}
		}
	}
	if hosts > 0 && granted >= kqguard.Majority(hosts) {
		return Run, nil
	}
	for _, r := range list {
		if r.Outcome == kqguard.Held {
			return Claimed, nil
		}
	}
	return NoQuorum, nil
}

// Keep notes the answer at the guards, without waiting for them.
func (c *Claim) StoreResponse(a kqguard.Response) {
	c.notifyGuards(MethodStore, outcome{Key: c.key, Call: c.call, Response: &a})
}

// Release gives the claim up: the call certainly did not run.
func (c *Claim) Release() {
	c.notifyGuards(MethodRelease, outcome{Key: c.key, Call: c.call})
}

// tell sends the outcome to every guard, repeating it while one is silent.
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
