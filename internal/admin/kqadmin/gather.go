package kqadmin

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"kumquatglade/internal/call/kqaccount"
	"kumquatglade/internal/host/kqevent"

	"github.com/cockroachdb/errors"
)

// Methods by which one host collects the status, accounts or events of all hosts.
const (
	MethodStatus  = "status"
	MethodAccount = "account"
	MethodEvents  = "events"
)

// maxGathered bounds the events of all hosts together that one answer holds, some 20 MB; each
// host sends its share of them, its newest ones.
const maxGathered = 64 << 10

// gatherTimeout bounds the wait for a host that does not answer.
const gatherTimeout = 2 * time.Second

type accountQuery struct {
	Owner string `json:"owner"`
}

type eventQuery struct {
	Since kqevent.Timestamp `json:"since"`
	Most  int               `json:"most,omitempty"` // events, 0: all
}

// newest returns the events that the query asks for.
func (q eventQuery) newest(list []kqevent.Event) []kqevent.Event {
	if q.Most > 0 && len(list) > q.Most {
		return list[len(list)-q.Most:]
	}
	return list
}

type statusList struct {
	Hosts   []Status `json:"hosts"`
	Missing []string `json:"missing,omitempty"`
}

type accountAnswer struct {
	Rows    []kqaccount.Row `json:"rows"`
	Missing []string        `json:"missing,omitempty"` // hosts that did not answer
}

type eventAnswer struct {
	Events  []kqevent.Event `json:"events"`
	Missing []string        `json:"missing,omitempty"`
}

// gather calls all hosts in parallel and returns their answers in the order of host
// names, and the names of the hosts that did not answer.
func gather[T any](ctx context.Context, s *Server, method string, query any) (list []T, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	hosts := s.cfg.Hosts()
	slices.Sort(hosts)
	answers := make([]*T, len(hosts))
	done := make(chan struct{})
	for i, h := range hosts {
		go func() {
			var v T
			if err := s.cfg.Link.Call(ctx, h, method, query, &v); err == nil {
				answers[i] = &v
			}
			done <- struct{}{}
		}()
	}
	for range hosts {
		<-done
	}
	list = []T{}
	for i, a := range answers {
		if a == nil {
			missing = append(missing, hosts[i])
			continue
		}
		list = append(list, *a)
	}
	return list, missing
}

// mergeEvents orders the events of all hosts by their hybrid timestamps.
func mergeEvents(lists [][]kqevent.Event) []kqevent.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b kqevent.Event) int {
		switch {
		case a.Time.Less(b.Time):
			return -1
		case b.Time.Less(a.Time):
			return 1
		}
		return 0
	})
	if all == nil {
		all = []kqevent.Event{}
	}
	return all
}

// Answer handles a call of gather from another host.
func (s *Server) Answer(kind string, body json.RawMessage) (any, error) {
	switch kind {
	case MethodStatus:
		return s.cfg.Status(), nil
	case MethodAccount:
		var q accountQuery
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, errors.Wrap(err, "admin: account")
		}
		if s.cfg.Account == nil {
			return []kqaccount.Row{}, nil
		}
		return s.cfg.Account(q.Owner), nil
	case MethodEvents:
		var q eventQuery
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, errors.Wrap(err, "admin: events")
		}
		list, _ := s.cfg.Events.Since(q.Since)
		return q.newest(list), nil
	}
	return nil, errors.Newf("admin: no method %q", kind)
}
