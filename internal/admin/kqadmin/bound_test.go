package kqadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqcontrol"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// undecided is a Store without a quorum. It records whether a caller waits without a bound.
type undecided struct {
	kqcontrol.Store
	unbounded bool
}

func (u *undecided) Submit(ctx context.Context, _ kqcontract.Command) (kqcontract.Result, error) {
	end, bounded := ctx.Deadline()
	u.unbounded = !bounded || time.Until(end) > submitTimeout
	return kqcontract.Result{}, errors.New("no quorum")
}

// TestChangesAreBounded guards against changes whose answer waits for a quorum without end:
// the operator doesn't learn that their outcome is unknown.
func TestChangesAreBounded(t *testing.T) {
	for _, change := range []struct{ method, path, body string }{
		{"PUT", "/v1/routes", `{"version":1,"services":[{"name":"echo","health":"/","connections":1}],"limits":{},"hosts":[{"name":"a.example",
			"routes":[{"name":"r","prefix":"/","service":"echo","kind":"safe","attempts":1,"timeout":"1s","objective":"1s"}]}]}`},
		{"PUT", "/v1/contracts/demo", `{"owner":"demo","version":1,"services":[{"name":"echo","deadline":"2s","rate":1,"burst":1,"active":1,
			"queue":1,"share":1,"probes":1,"retries":1,"hedges":1,"body":1}]}`},
		{"DELETE", "/v1/contracts/demo?version=2", ""},
	} {
		t.Run(change.method+" "+change.path, func(t *testing.T) {
			store := &undecided{}
			e := echo.New()
			NewServer(Config{OperatorKey: "key", Store: store, Metrics: metrics.NewRegistry()}).Register(e)
			r := httptest.NewRequest(change.method, change.path, strings.NewReader(change.body))
			r.Header.Set("Authorization", "Bearer key")
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			var answer errorBody
			if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil || w.Code != http.StatusGatewayTimeout || !answer.Unknown {
				t.Errorf("%d %s, want 504 with an unknown outcome", w.Code, w.Body)
			}
			if store.unbounded {
				t.Errorf("the wait for a quorum is not bounded by %s", submitTimeout)
			}
		})
	}
}
