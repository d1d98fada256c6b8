package kqdaemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqsoak"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqsettings"
)

const (
	stopCallers = 48
	stopTimeout = 3500 * time.Millisecond
	stopMargin  = 400 * time.Millisecond // that an operator leaves until the process is killed
	maxWork     = 600 * time.Millisecond // of a target on a request
)

// TestPlannedStopUnderLoad stops an entry host while callers keep using its address until
// the end. It guards against requests that are passed on too late in the stop and cut.
func TestPlannedStopUnderLoad(t *testing.T) {
	took, counts := stopUnderLoad(t, time.Hour)
	if limit := stopTimeout + stopMargin; took > limit {
		t.Errorf("the stop took %s, at most %s are allowed", took, limit)
	}
	if counts.Refused == 0 {
		t.Error("the callers did not stay until the host took no more requests")
	}
}

// TestSecondSignalCutsNothing hurries the stop: it ends once the requests in progress are
// answered, and no further ones are taken.
func TestSecondSignalCutsNothing(t *testing.T) {
	took, _ := stopUnderLoad(t, 300*time.Millisecond)
	if took >= stopTimeout {
		t.Errorf("the stop took %s, want less than without the second signal, %s", took, stopTimeout)
	}
}

// stopUnderLoad stops an entry host while callers use its address until nothing listens
// there, and fails the test for each request that is lost. It returns the time of the stop
// and the counts of requests by outcome.
func stopUnderLoad(t *testing.T, expediteAfter time.Duration) (time.Duration, kqsoak.Counts) {
	t.Helper()
	f := newFleet(t)
	f.stopTimes = kqsettings.Stop{CacheTime: kqsettings.Duration(500 * time.Millisecond), Timeout: kqsettings.Duration(stopTimeout)}
	var addrs []string
	for i := range 3 {
		f.start(control(i), true)
		addrs = append(addrs, f.at(control(i), 4))
	}
	f.start(entry(0), true)
	f.voters(3)
	f.want(http.StatusOK, "PUT", f.at(control(0), 1), "/v1/routes", string(kqsoak.Routes(7, false)))
	ledger := kqsoak.NewLedger()
	ledger.SetPlanned(true)
	target := kqsoak.StartTarget(kqsoak.TargetConfig{
		ID: "kekhai-1", Ledger: ledger, ControlAddrs: addrs, Slots: 4 * stopCallers,
		Work: func() time.Duration { return 20*time.Millisecond + rand.N(maxWork) },
	})
	defer target.Kill()
	calls := f.at(entry(0), 0)
	ledger.Sent("first", false)
	f.eventually("the target is served", func() string {
		if status, text := f.send("GET", calls, "/read/1", "", kqproxy.DefaultHeaderNames.RequestID, "first"); status/100 != 2 {
			return fmt.Sprint(status, text)
		}
		return ""
	})

	var callers sync.WaitGroup
	for i := range stopCallers {
		s := &kqsoak.Stayer{Name: fmt.Sprintf("caller-%d", i), Addr: calls, Ledger: ledger, Leaves: true}
		callers.Go(func() { s.Run(t.Context()) })
	}
	time.Sleep(500 * time.Millisecond)
	expedite := make(chan struct{})
	second := time.AfterFunc(expediteAfter, func() { close(expedite) })
	defer second.Stop()
	began := time.Now()
	f.hosts[entry(0)].Stop(expedite)
	took := time.Since(began)
	delete(f.hosts, entry(0))
	callers.Wait()
	counts, violations := ledger.Result()
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%+v, the stop took %s", counts, took.Round(time.Millisecond))
	if counts.Good == 0 {
		t.Error("no request was served")
	}
	return took, counts
}
