package kqtokens

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var testVoters = []string{"v1", "v2", "v3"}

func newTestHost(f Fleet) *Host {
	return NewHost(HostConfig{
		Params: testParams, Rand: rand.New(rand.NewPCG(1, 1)), Voters: func() []string { return testVoters }, Fleet: func() Fleet { return f },
	})
}

// settle answers all messages, those sent meanwhile included, and returns the decisions and the
// number of messages.
func settle(h *Host, e Effects, now time.Time, answer func(a Ask) []Grant) (decisions []Decision, messages int) {
	for asks := e.Asks; ; {
		decisions = append(decisions, e.Decisions...)
		if len(asks) == 0 {
			return decisions, messages
		}
		a := asks[0]
		messages++
		e = h.Answered(a.ID, answer(a), now)
		asks = append(asks[1:], e.Asks...)
	}
}

func grantAll(a Ask) (list []Grant) {
	for _, w := range a.Wants {
		list = append(list, Grant{Count: w.Count})
	}
	return list
}

func refuseAll(wait time.Duration) func(Ask) []Grant {
	return func(a Ask) []Grant { return slices.Repeat([]Grant{{Wait: wait}}, len(a.Wants)) }
}

func silence(Ask) []Grant { return nil }

// TestExcessSendsNoMessages guards against an owner in excess that loads links and voters: once
// all voters have refused, requests are refused without a message until the first turn.
func TestExcessSendsNoMessages(t *testing.T) {
	h, o := newTestHost(Fleet{0, 128}), owner("a", 10, 0)
	list, n := settle(h, h.Take(&o, 1, testStart), testStart, refuseAll(time.Second))
	if n != len(testVoters) || len(list) != 1 || list[0].Outcome != Refused {
		t.Fatalf("%d messages, %+v", n, list)
	}
	seen := map[time.Duration]bool{}
	for id := range uint64(50) {
		now := testStart.Add(time.Duration(id) * 10 * time.Millisecond)
		e := h.Take(&o, 2+id, now)
		if len(e.Asks) > 0 || len(e.Decisions) != 1 || e.Decisions[0].Outcome != Refused {
			t.Fatalf("%+v", e)
		}
		wait := e.Decisions[0].RetryAfter
		if turn := testStart.Add(time.Second).Sub(now); wait < turn || wait > turn+maxTurn {
			t.Errorf("turn in %v, told %v", turn, wait)
		}
		seen[wait.Round(time.Millisecond)] = true
	}
	if len(seen) < 25 {
		t.Errorf("50 callers return at %d different times", len(seen))
	}
	if e := h.Take(&o, 100, testStart.Add(time.Second)); len(e.Asks) != 1 {
		t.Errorf("no message at the turn: %+v", e)
	}
}

// TestUnansweredAndSpare guards against hosts that together send more than the spare requests
// when no voter answers, and against parts below one that no host can use.
func TestUnansweredAndSpare(t *testing.T) {
	const hosts = 128
	for _, burst := range []float64{0, 100, 3000} {
		o, all := owner("a", 10, burst), 0
		for rank := range hosts {
			h := newTestHost(Fleet{rank, hosts})
			id := uint64(0)
			for {
				id++
				list, _ := settle(h, h.Take(&o, id, testStart), testStart, silence)
				if list[0].Outcome == Unanswered {
					break
				}
				all++
			}
			for window := range 3 { // and no more in the window
				now := testStart.Add(time.Duration(window) * time.Second)
				if list, _ := settle(h, h.Take(&o, 1000, now), now, silence); list[0].Outcome != Unanswered {
					t.Fatalf("rank %d: %+v", rank, list)
				}
			}
		}
		if want := testParams.spare(burst, len(testVoters)); all != want || want == 0 {
			t.Errorf("burst %v: %d spare requests, want %d", burst, all, want)
		}
	}
	h, o := newTestHost(Fleet{-1, hosts}), owner("a", 10, 1e6)
	if list, _ := settle(h, h.Take(&o, 1, testStart), testStart, silence); list[0].Outcome != Unanswered {
		t.Errorf("a host that is not listed: %+v", list)
	}
}

// TestTokensExpire guards against tokens that are used after their time, and against tokens that
// are lost although their requests were not sent.
func TestTokensExpire(t *testing.T) {
	h, o := newTestHost(Fleet{0, 1}), owner("a", 10, 0)
	list, _ := settle(h, h.Take(&o, 1, testStart), testStart, grantAll)
	token := list[0].Token
	life := testParams.Life()
	h.Return(&o, token, testStart.Add(life/2))
	e := h.Take(&o, 2, testStart.Add(life-1))
	if len(e.Decisions) != 1 || len(e.Asks) != 0 || e.Decisions[0].Token != token {
		t.Fatalf("a returned token is not used: %+v", e)
	}
	h.Return(&o, token, testStart.Add(life-1))
	if e := h.Take(&o, 3, testStart.Add(life)); len(e.Decisions) != 0 || len(e.Asks) != 1 {
		t.Errorf("a token is used after its time: %+v", e)
	}
	if e := h.Answered(h.lastID, []Grant{{Count: 1}}, testStart.Add(2*life)); len(e.Decisions) != 0 {
		t.Errorf("a grant that arrived late is used: %+v", e)
	}
}

// TestOneMessage guards against a message for each request of one moment.
func TestOneMessage(t *testing.T) {
	h, a, b := newTestHost(Fleet{0, 1}), owner("a", 10, 0), owner("b", 10, 0)
	first := h.Take(&a, 1, testStart)
	for id := range uint64(10) {
		o := &a
		if id%2 == 0 {
			o = &b
		}
		if e := h.Take(o, 2+id, testStart); len(e.Asks)+len(e.Decisions) != 0 {
			t.Fatalf("%+v", e)
		}
	}
	if list, n := settle(h, first, testStart, grantAll); n > 3 || len(list) != 11 {
		t.Errorf("%d messages, %d decisions", n, len(list))
	}
}

// TestSlowVoter guards against a wait for a voter that is gone: the next one is asked, a voter
// that was slow is asked last, and one without an answer not at all for a while.
func TestSlowVoter(t *testing.T) {
	h, o := newTestHost(Fleet{0, 1}), owner("a", 10, 0)
	first := h.Take(&o, 1, testStart).Asks[0]
	now := testStart.Add(slowAfter)
	second := h.Slow(first.ID, now).Asks
	if len(second) != 1 || second[0].Voter == first.Voter {
		t.Fatalf("%+v", second)
	}
	if e := h.Answered(second[0].ID, []Grant{{Count: 1}}, now); len(e.Decisions) != 1 {
		t.Fatalf("%+v", e)
	}
	for id := range uint64(20) {
		e := h.Take(&o, 10+id, now)
		if e.Asks[0].Voter == first.Voter {
			t.Fatal("the slow voter is asked first")
		}
		settle(h, e, now, grantAll)
	}
	h.Answered(first.ID, nil, now.Add(AnswerTimeout))
	now = now.Add(AnswerTimeout + slowTime)
	for _, until := range []time.Duration{0, absentTime} {
		asked := map[string]bool{}
		for id := range uint64(20) {
			settle(h, h.Take(&o, 100+id, now.Add(until)), now.Add(until), func(a Ask) []Grant { asked[a.Voter] = true; return grantAll(a) })
		}
		if !asked[first.Voter] {
			t.Errorf("the voter is not asked again after %v: %v", until, asked)
		}
	}
}

// TestWaitsForLateAnswers guards against refusals while a busy link delays all answers.
func TestWaitsForLateAnswers(t *testing.T) {
	h, o := newTestHost(Fleet{0, 1}), owner("a", 10, 0)
	asks := h.Take(&o, 1, testStart).Asks
	for i := 0; i < len(testVoters); i++ {
		e := h.Slow(asks[i].ID, testStart.Add(time.Duration(i+1)*slowAfter))
		if len(e.Decisions) != 0 {
			t.Fatalf("%+v", e)
		}
		asks = append(asks, e.Asks...)
	}
	now := testStart.Add(testParams.Life() - 1)
	if e := h.Answered(asks[1].ID, []Grant{{Count: 1}}, now); len(e.Decisions) != 1 || e.Decisions[0].Outcome != Granted {
		t.Errorf("%+v", e)
	}
}

// TestAsksAgainAfterExpiredTokens guards against a refusal because the only tokens came after
// the time within which they may be used.
func TestAsksAgainAfterExpiredTokens(t *testing.T) {
	h, o := newTestHost(Fleet{0, 1}), owner("a", 10, 0)
	asks := h.Take(&o, 1, testStart).Asks
	for i := range len(testVoters) - 1 {
		asks = append(asks, h.Slow(asks[i].ID, testStart.Add(slowAfter)).Asks...)
	}
	now := testStart.Add(testParams.Life() + slowAfter)
	var e Effects
	for _, a := range asks {
		if e = h.Answered(a.ID, []Grant{{Count: 1}}, now); len(e.Decisions) != 0 {
			t.Fatalf("%+v", e)
		}
	}
	if len(e.Asks) != 1 {
		t.Fatalf("no voter is asked again: %+v", e)
	}
	if e := h.Answered(e.Asks[0].ID, []Grant{{Count: 1}}, now); len(e.Decisions) != 1 || e.Decisions[0].Outcome != Granted {
		t.Errorf("%+v", e)
	}
}

// TestCancel guards against a decision for a caller that is gone, and a token that is lost.
func TestCancel(t *testing.T) {
	h, o := newTestHost(Fleet{0, 1}), owner("a", 10, 0)
	ask := h.Take(&o, 1, testStart).Asks[0]
	h.Cancel(&o, 1)
	if e := h.Take(&o, 2, testStart); len(e.Decisions) != 0 {
		t.Fatalf("%+v", e)
	}
	if e := h.Answered(ask.ID, []Grant{{Count: 1}}, testStart); len(e.Decisions) != 1 || e.Decisions[0].ID != 2 {
		t.Errorf("%+v", e)
	}
}

// TestForgetsOwners guards against memory that grows with the owners ever seen.
func TestForgetsOwners(t *testing.T) {
	h := newTestHost(Fleet{0, 1})
	for i := range 5000 {
		o, now := owner(fmt.Sprint(i), 1, 0), testStart.Add(time.Duration(i)*100*time.Millisecond)
		settle(h, h.Take(&o, uint64(i), now), now, grantAll)
	}
	if len(h.owners) > 200 {
		t.Errorf("%d owners", len(h.owners))
	}
}

// TestRequestsThatJoinLater guards against requests that are refused as if no voter answered,
// because each voter had been asked for tokens before they came.
func TestRequestsThatJoinLater(t *testing.T) {
	h, o := newTestHost(Fleet{-1, 0}), owner("a", 100, 100)
	asks := h.Take(&o, 1, testStart).Asks
	granted := 0
	for id := uint64(2); len(asks) > 0; id++ {
		if id <= 10 {
			asks = append(asks, h.Take(&o, id, testStart).Asks...)
		}
		a := asks[0]
		e := h.Answered(a.ID, []Grant{{Count: a.Wants[0].Count}}, testStart)
		asks = append(asks[1:], e.Asks...)
		for _, d := range e.Decisions {
			if d.Outcome != Granted {
				t.Fatalf("%+v", d)
			}
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d of 10 requests granted", granted)
	}
}
