package kqtokens

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqlog"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// fakeLink answers calls by a function.
type fakeLink struct {
	kq.Link
	answer func(ctx context.Context, peer string, req tokensRequest) (tokensAnswer, error)
}

func (l fakeLink) Call(ctx context.Context, peer, _ string, body, out any) error {
	a, err := l.answer(ctx, peer, body.(tokensRequest))
	if err != nil {
		return err
	}
	p, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return json.Unmarshal(p, out)
}

func newTestAsker(answer func(ctx context.Context, peer string, req tokensRequest) (tokensAnswer, error)) *Asker {
	return NewAsker(AskerConfig{
		HostConfig: HostConfig{
			Params: testParams, Rand: rand.New(rand.NewPCG(1, 1)), Voters: func() []string { return testVoters }, Fleet: func() Fleet { return Fleet{-1, 0} },
		},
		Version: func() uint64 { return 1 }, Link: fakeLink{answer: answer}, Clock: kqclock.System{}, Log: kqlog.Discard(), Metrics: metrics.NewRegistry(),
	})
}

// TestAskerSurvivesBadAnswers guards against requests that wait for ever or get a token by an
// answer that is none.
func TestAskerSurvivesBadAnswers(t *testing.T) {
	good := func(req tokensRequest) tokensAnswer {
		return tokensAnswer{Voter: true, Grants: grantAll(Ask{Wants: req.Wants})}
	}
	for name, bad := range map[string]func(tokensRequest) (tokensAnswer, error){
		"error":       func(tokensRequest) (tokensAnswer, error) { return tokensAnswer{}, errors.New("no link") },
		"not a voter": func(req tokensRequest) (tokensAnswer, error) { a := good(req); a.Voter = false; return a, nil },
		"too many": func(req tokensRequest) (tokensAnswer, error) {
			a := good(req)
			a.Grants = append(a.Grants, Grant{Count: 9})
			return a, nil
		},
		"none": func(tokensRequest) (tokensAnswer, error) { return tokensAnswer{Voter: true}, nil },
	} {
		a := newTestAsker(func(_ context.Context, peer string, req tokensRequest) (tokensAnswer, error) {
			if peer == testVoters[0] {
				return good(req), nil
			}
			return bad(req)
		})
		o := owner("a", 10, 0)
		for range 5 {
			if d := a.Take(t.Context(), &o, false); d.Outcome != Granted || d.Token.By != testVoters[0] {
				t.Errorf("%s: %+v", name, d)
			}
		}
		all := newTestAsker(func(_ context.Context, _ string, req tokensRequest) (tokensAnswer, error) { return bad(req) })
		if d := all.Take(t.Context(), &o, false); d.Outcome != Unanswered || d.RetryAfter <= 0 {
			t.Errorf("%s from all: %+v", name, d)
		}
	}
}

// TestAskerCancelled guards against a token that is lost with its caller, and against a caller
// that is kept by a voter which does not answer.
func TestAskerCancelled(t *testing.T) {
	asked, release := make(chan struct{}, 100), make(chan struct{})
	a := newTestAsker(func(_ context.Context, _ string, req tokensRequest) (tokensAnswer, error) {
		asked <- struct{}{}
		<-release
		return tokensAnswer{Voter: true, Grants: grantAll(Ask{Wants: req.Wants})}, nil
	})
	o := owner("a", 10, 0)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	if d := a.Take(ctx, &o, false); d.Outcome != Unanswered {
		t.Errorf("%+v", d)
	}
	close(release)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if d := a.Take(t.Context(), &o, false); d.Outcome != Granted {
				t.Errorf("%+v", d)
			}
		})
	}
	wg.Wait()
	if len(a.waiting) != 0 {
		t.Errorf("%d requests still wait", len(a.waiting))
	}
}
