package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["first-start"] = firstStart }

const (
	// leadTime is the time between the start of the machines and of the traffic.
	leadTime = 8 * time.Second

	// servingTime is how long clients send requests after the first desired state was sent.
	servingTime = 15 * time.Second

	startSpread = 300 * time.Millisecond // within which all machines start
)

// firstStart kills the process of one seed while the system starts for the first time.
func firstStart(r *run) (string, error) {
	f, err := newFleet(r, 5, 2)
	if err != nil {
		return "", err
	}
	last, seed := f.cores[0], f.cores[1]
	for _, n := range f.all() {
		if n != last {
			f.start(n)
		}
	}
	time.Sleep(startSpread * 2 / 3)
	if r.trouble {
		if err := f.writeSettings(seed, zoneOf(1), false); err != nil {
			return "", err
		}
		seed.signal(syscall.SIGKILL)
		r.note("%s is killed and starts again, with bootstrap = false", seed.name)
	}
	time.Sleep(startSpread / 3)
	f.start(last)
	time.Sleep(leadTime)
	rt := route{Name: "kept", PathPrefix: "/kept/", RouteKind: "safe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "alpha", Attempts: 2}
	refused := f.putConfig(newConfig(7, []string{"alpha"}, rt))
	if refused == nil {
		if _, err := startInstances(f, "alpha", 3, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	began := time.Now()
	for i := 0; time.Since(began) < servingTime; i++ {
		for _, n := range f.fronts {
			q := request{id: fmt.Sprintf("r%d-%s", i, n.name), method: http.MethodGet, path: "/kept/1", deadline: 2 * time.Second}
			if a := f.send(n, q); a.status == http.StatusOK {
				return "", nil
			}
		}
		time.Sleep(time.Second / 2)
	}
	return fmt.Sprintf("no request is served; the first desired state: %v", refused), nil
}
