package kqdaemon

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/call/kqproxy"
)

// TestColdTargetOverAllHosts guards the rate of a cold target against three entry hosts that
// all have more requests than it can take, and checks that they use it fully once it is warm.
func TestColdTargetOverAllHosts(t *testing.T) {
	const coldRate, entries = 4, 3
	f := newFleet(t)
	var cold atomic.Bool
	cold.Store(true)
	var mu sync.Mutex
	var arrivals []time.Time
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(kqproxy.DefaultHeaderNames.Load, "0,0,4,100")
		if r.URL.Path == "/health" {
			if cold.Load() {
				w.Header().Set(kqproxy.DefaultHeaderNames.Cold, "3000")
			}
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		w.Header().Set(kqproxy.DefaultHeaderNames.RequestID, r.Header.Get(kqproxy.DefaultHeaderNames.RequestID))
		w.Header().Set(kqproxy.DefaultHeaderNames.Seal, "sealed")
	}))
	defer target.Close()
	for i := range 3 {
		f.start(control(i), true)
	}
	for i := range entries {
		f.start(entry(i), true)
	}
	f.voters(3)
	doc := strings.Replace(routes(1, "/filings/"), `"connections": 20`, fmt.Sprintf(`"connections": 20, "coldTime": "30s", "coldRate": %d`, coldRate), 1)
	f.want(200, "PUT", f.at(control(0), 1), "/v1/routes", doc)
	f.eventually("all entry hosts in the directory", func() string {
		_, text := f.send("GET", f.at(entry(0), 5), "/v1/entries", "")
		if n := strings.Count(text, "addr"); n != entries {
			return text
		}
		return ""
	})
	f.want(200, "POST", f.at(control(1), 4), "/v1/targets", fmt.Sprintf(
		`{"service":"kekhai","id":"kekhai-1","addr":%q,"domain":"a","slots":4,"state":"ready","boot":%d,"seq":1,"cold":"30s"}`,
		strings.TrimPrefix(target.URL, "http://"), time.Now().UnixMilli()))

	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range entries {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					f.send("POST", f.at(entry(i), 0), "/filings/1", "filing", kqproxy.DefaultHeaderNames.RequestID, "id-1")
				}
			}
		})
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(arrivals)
	}
	const wanted = 12
	f.eventually("requests at the cold target", func() string {
		if n := count(); n < wanted {
			return fmt.Sprint(n, " arrivals")
		}
		return ""
	})
	mu.Lock()
	// Of six requests at least three are from one of the two hosts that may send, which takes
	// two of its intervals of 500 ms. 300 ms allow for delays on a busy machine.
	for i := range wanted - 5 {
		if span := arrivals[i+5].Sub(arrivals[i]); span < 700*time.Millisecond {
			t.Errorf("six requests within %v", span)
		}
	}
	mu.Unlock()
	cold.Store(false) // the hosts that probe it learn that it is warm; the others wait for the announced time
	before := count()
	f.eventually("requests at the warm target", func() string {
		if n := count() - before; n < 10*coldRate {
			return fmt.Sprint(n, " arrivals")
		}
		return ""
	})
	close(stop)
	callers.Wait()
}
