package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

func smallDocument() map[string]any {
	return map[string]any{
		"version":  "00000001",
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"host": "hulo84.example", "paths": []any{map[string]any{
			"name": "r-1", "pathPrefix": "/leny950/", "routeKind": "safe", "timeout": "1000ms", "targetLatency": "250ms", "priority": 2, "service": "huvo11a", "attempts": 2,
		}}}},
	}
}

// runOptions shows that a request on a route that never existed gets a success.
func runOptions(dir string, rec *record, trouble bool) (broken bool, err error) {
	sys, err := newSystem(dir, plan{
		controls: 3, entries: 2, contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health"},
		bounds: map[string]any{
			"contactWindow": "3000ms", "configApply": "2000ms", "grace": "6s", "retryBudgetRatio": 0.2, "budgetWindow": "10s", "retryBudgetSlack": 60, "probesPerS": 60,
		},
	}, rec)
	if err != nil {
		return false, err
	}
	defer sys.end()
	if err := sys.startAll(); err != nil {
		return false, err
	}
	var runs atomic.Int64
	for n := range 2 {
		if _, err := startInstance(sys, n+1, "huvo11a", 6, 20*time.Millisecond, func(i *instance, id string, r *http.Request) {
			runs.Add(1)
			rec.note("instance %s runs %s %s, request %s", i.id, r.Method, r.URL, id)
		}); err != nil {
			return false, err
		}
	}
	if err := sys.put(smallDocument(), 10*time.Second); err != nil {
		return false, err
	}
	if err := sys.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactWindow)
	calls := []call{{method: "GET", path: "/leny950/2f"}, {method: "OPTIONS", path: "/leny950/2f"}, {method: "OPTIONS", path: "/neverwas/"}}
	if trouble {
		calls = append(calls, call{method: "OPTIONS", path: "*"})
	}
	for range 3 {
		for _, c := range calls {
			c.host = "hulo84.example"
			for e := range sys.plan.entries {
				front := sys.ip(2, e+1)
				t := c.send(sys.addr(front, portFront), time.Now().Add(time.Second), 0)
				rec.note("%s %s, request %s to %s: %s, seal %q", c.method, c.path, t.id, front, t.outcome(), t.seal)
				if t.status/100 == 2 && t.seal == "" {
					broken = true
				}
			}
		}
	}
	rec.say("%d requests ran at an instance; a success without a seal: %v", runs.Load(), broken)
	return broken, nil
}
