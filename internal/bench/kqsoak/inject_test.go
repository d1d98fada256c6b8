package kqsoak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqprocess"
	"kumquatglade/internal/host/kqsettings"
)

// TestTargetLeavesAtEndOfRun guards against a target that is killed with requests in progress
// because the time of the run is over, for which the soak would blame the hosts.
func TestTargetLeavesAtEndOfRun(t *testing.T) {
	control := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(control.Close)
	host := &kqprocess.Host{Settings: kqsettings.Settings{Listen: kqsettings.Listen{Control: strings.TrimPrefix(control.URL, "http://")}}}
	for _, kind := range []Kind{TargetLeaves, TargetMoves} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := &soak{ledger: NewLedger(), hosts: &hosts{Hosts: &kqprocess.Hosts{Control: []*kqprocess.Host{host}}}}
			s.targets = []*Target{s.newTarget()}
			defer func() { s.killTargets() }()
			over, cancel := context.WithCancel(t.Context())
			cancel()
			began := time.Now()
			s.injectTarget(over, Fault{Kind: kind})
			if took := time.Since(began); took < drainBound {
				t.Errorf("the target was killed after %v, want %v", took, drainBound)
			}
			if counts, _ := s.ledger.Result(); kind == TargetLeaves && counts.Left != 1 {
				t.Errorf("%d targets left, want 1", counts.Left)
			}
		})
	}
}
