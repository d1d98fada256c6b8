package kqadmin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	kq "kumquatglade"
	"kumquatglade/internal/host/kqevent"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// hosts is a Link on which all hosts answer like one Server.
type hosts struct {
	kq.Link
	server *Server
}

func (h hosts) Call(_ context.Context, _, kind string, body, out any) error {
	p, err := json.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := h.server.Answer(kind, p)
	if err != nil {
		return err
	}
	if p, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(p, out)
}

// TestGatheredEventsAreBounded guards against an operator who asks a host for the events of all:
// it kept those of every host at once.
func TestGatheredEventsAreBounded(t *testing.T) {
	for _, hostCount := range []int{1, 5} {
		t.Run(fmt.Sprint(hostCount), func(t *testing.T) {
			var names []string
			for i := range hostCount {
				names = append(names, fmt.Sprint("h", i))
			}
			s := NewServer(Config{
				OperatorKey: "key", Metrics: metrics.NewRegistry(), Events: kqevent.NewRecorder("h1", time.Now), Hosts: func() []string { return names },
			})
			s.cfg.Link = hosts{server: s}
			for i := range kqevent.MaxEvents {
				s.cfg.Events.Add(kqevent.Event{Component: "calls", Kind: "refused", Text: fmt.Sprint(i)})
			}
			e := echo.New()
			s.Register(e)
			req := httptest.NewRequest(http.MethodGet, "/v1/events?all=1", nil)
			req.Header.Set("Authorization", "Bearer key")
			rec := httptest.NewRecorder()
			e.ServeHTTP(rec, req)
			var answer eventAnswer
			if err := json.Unmarshal(rec.Body.Bytes(), &answer); err != nil || len(answer.Missing) > 0 {
				t.Fatal(rec.Code, err, answer.Missing)
			}
			n := len(answer.Events)
			if want := min(hostCount*kqevent.MaxEvents, maxGathered/hostCount*hostCount); n != want {
				t.Errorf("%d events, want %d", n, want)
			}
			if last := answer.Events[n-1].Text; last != fmt.Sprint(kqevent.MaxEvents-1) {
				t.Errorf("the newest event is %s", last)
			}
		})
	}
}
