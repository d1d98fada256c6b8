package kqdaemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/route/kqtokens"
	"kumquatglade/internal/state/kqroutes"

	"github.com/rcrowley/go-metrics"
)

// limitedRoutes returns routes in which one owner has the limit.
func limitedRoutes(version int, rate, burst float64) string {
	return strings.Replace(routes(version, "/"), `"limits": {}`,
		fmt.Sprintf(`"limits": {}, "owners": [{"name": "o", "keys": ["k"], "rate": %v, "burst": %v}]`, rate, burst), 1)
}

// TestLimitOverAllHosts guards against entry hosts that count by themselves, against a limit
// that is lost with a control host, and against a change that does not bind.
func TestLimitOverAllHosts(t *testing.T) {
	f := newFleet(t)
	for i := range 3 {
		f.start(control(i), true)
	}
	f.voters(3)
	for i := 3; i < 5; i++ { // these are added to the cluster
		f.start(control(i), false)
	}
	f.voters(5)
	for i := range 3 {
		f.start(entry(i), false)
	}
	put := func(version int, rate, burst float64) {
		f.want(200, "PUT", f.at(control(0), 1), "/v1/routes", limitedRoutes(version, rate, burst))
		f.eventually("routes in force", func() string {
			for i := range 3 {
				if v := f.hosts[entry(i)].follower.LatestView(); v == nil || v.Routes == nil || v.Routes.Version != uint64(version) {
					return entry(i)
				}
			}
			return ""
		})
	}
	// take asks for tokens at all entry hosts in turn until one is refused.
	take := func(o kqroutes.Owner) (granted []kqtokens.Decision, d kqtokens.Decision, waits []time.Duration) {
		for i := 0; ; i++ {
			began := time.Now()
			d = f.hosts[entry(i%3)].asker.Take(t.Context(), &o, false)
			waits = append(waits, time.Since(began))
			if d.Outcome != kqtokens.Granted || i > 1000 {
				slices.Sort(waits)
				return granted, d, waits
			}
			granted = append(granted, d)
		}
	}
	o := kqroutes.Owner{Name: "o", Rate: 1, Burst: 300}
	put(1, o.Rate, o.Burst)
	by, total, began := map[string]bool{}, 0, time.Now()
	f.eventually("all voters grant", func() string {
		granted, d, _ := take(o)
		for _, g := range granted {
			by[g.Token.By] = true
		}
		total += len(granted)
		if len(by) < 5 || d.Outcome != kqtokens.Refused {
			return fmt.Sprint(by, d)
		}
		return ""
	})
	if took := time.Since(began); float64(total) > 20+took.Seconds() || took > 10*time.Second {
		t.Errorf("%d tokens of fresh buckets in %v", total, took)
	}
	o = kqroutes.Owner{Name: "o", Rate: 600, Burst: 300}
	put(2, o.Rate, o.Burst)
	time.Sleep(time.Second) // real time: the buckets fill
	began = time.Now()
	o.Rate = 60 // a slow machine takes fewer than 600 tokens a second, and would never be refused
	put(3, o.Rate, o.Burst)
	granted, d, waits := take(o)
	if most := 300 + 60*time.Since(began).Seconds() + 20; len(granted) < 200 || float64(len(granted)) > most || d.Outcome != kqtokens.Refused {
		t.Errorf("%d tokens, want 200 to %.0f, then %+v", len(granted), most, d)
	}
	t.Logf("%d tokens; decision: median %v, 99th percentile %v", len(granted), waits[len(waits)/2], waits[len(waits)*99/100])
	for i := 4; i > 0; i-- {
		f.stop(control(i))
	}
	f.eventually("the last voter grants its share", func() string {
		if _, d, _ := take(o); d.Outcome != kqtokens.Refused {
			return fmt.Sprintf("%+v", d)
		}
		return ""
	})
	f.stop(control(0))
	f.eventually("no voter answers", func() string {
		if _, d, _ := take(o); d.Outcome != kqtokens.Unanswered {
			return fmt.Sprintf("%+v", d)
		}
		return ""
	})
}

// TestNoLimitsNoMessages guards against traffic for documents without limits.
func TestNoLimitsNoMessages(t *testing.T) {
	f := newFleet(t)
	for i := range 3 {
		f.start(control(i), true)
	}
	f.voters(3)
	f.start(entry(0), false)
	f.want(200, "PUT", f.at(control(0), 1), "/v1/routes", routes(1, "/"))
	f.want(503, "GET", f.at(entry(0), 0), "/x", "") // there is no target
	for name, d := range f.hosts {
		for _, c := range []string{"limits.messages", "shares.answers"} {
			if n := metrics.GetOrRegisterCounter(c, d.metrics).Count(); n != 0 {
				t.Errorf("%s: %s %d", name, c, n)
			}
		}
	}
}
