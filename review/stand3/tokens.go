package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Doses of the disruption and bounds of the deployment.
const (
	tokenTenants = 3    // hot_tenant: count = 3
	tokenHot     = 6.3  // hot_tenant: x = 6.3
	tokenUsual   = 12.5 // requests per second of a tenant, usually
	tokenRate    = 20.0 // 1.6 times as many are allowed
	leaveShare   = 0.3  // give_up: share = 0.3

	episodes  = 4                       // of too many requests
	hotTime   = 3500 * time.Millisecond // hot_tenant: for_s = 6.0 at the most
	slowTime  = 3500 * time.Millisecond // node_slow: for_s = 5.5 at the most, x = 5.5
	pauseTime = 6 * time.Second
	slowRun   = 10 * time.Millisecond // of which a slow process runs
	slowStop  = 45 * time.Millisecond // and stands still

	contactWindow  = 3 * time.Second
	configApply    = 2 * time.Second
	tokenObjective = 4 * time.Second
	tokenTimeout   = 5 * time.Second // of the route
	tokenBudget    = 12 * time.Second
	answerGrace    = 500 * time.Millisecond // after the route's timeout

	leaveWithin = 100 * time.Millisecond // give_up allows half of the objective
	calmTime    = 14 * time.Second
)

// tokenClients are the clients of all tenants.
type tokenClients struct {
	sys *system
	rec *record

	mu    sync.Mutex
	tries []try
	wait  sync.WaitGroup
}

// ask is one request of a client, with up to two retries within its time budget.
func (c *tokenClients) ask(tenant int, leaves bool) {
	defer c.wait.Done()
	request := call{method: "GET", host: "hulo84.example", path: "/leny950/2f", header: map[string]string{"Authorization": fmt.Sprintf("Token key-%d", tenant)}}
	deadline := time.Now().Add(tokenBudget)
	var leave time.Duration
	if leaves {
		leave = max(rand.N(leaveWithin), time.Millisecond)
	}
	for range 3 {
		front := c.sys.ip(2, 1+rand.IntN(c.sys.plan.entries))
		t := request.send(c.sys.addr(front, portFront), deadline, leave)
		c.rec.note("tenant-%d %s to %s sent at %.3f: %s after %.3f s", tenant, t.id, front, t.sent.Sub(c.rec.started).Seconds(), t.outcome(), t.ended.Sub(t.sent).Seconds())
		c.mu.Lock()
		c.tries = append(c.tries, t)
		c.mu.Unlock()
		if t.status == http.StatusOK || t.left || t.timeout {
			return
		}
		time.Sleep(min(t.retry, time.Until(deadline)/3))
	}
}

// load sends so many requests per second and tenant for a time.
func (c *tokenClients) load(perS float64, d time.Duration, leaveShare float64) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perS / tokenTenants * float64(time.Second)))
		c.wait.Add(1)
		go c.ask(rand.IntN(tokenTenants), rand.Float64() < leaveShare)
	}
}

// slowDown makes a process run 5.5 times slower for a while.
func slowDown(s *system, name string) {
	s.rec.note("%s turns slow", name)
	process := s.hosts[name].cmd.Process
	for end := time.Now().Add(slowTime); time.Now().Before(end); {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(slowStop)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
	s.rec.note("%s is not slow any more", name)
}

func tokenDocument() map[string]any {
	var tenants []any
	for i := range tokenTenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}, "ratePerS": tokenRate, "burst": 0})
	}
	return map[string]any{
		"version": "00000001", "tenants": tenants,
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 1080, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"host": "hulo84.example", "paths": []any{map[string]any{
			"name": "r-1", "pathPrefix": "/leny950/", "routeKind": "safe", "timeout": fmt.Sprintf("%dms", tokenTimeout.Milliseconds()),
			"targetLatency": fmt.Sprintf("%dms", tokenObjective.Milliseconds()), "priority": 1, "service": "huvo11a", "attempts": 2,
		}}}},
	}
}

// runTokens shows that the requests of a tenant are never answered again by an entry host.
func runTokens(dir string, rec *record, trouble bool) (broken bool, err error) {
	sys, err := newSystem(dir, plan{
		controls: 3, entries: 4, contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota"},
		bounds: map[string]any{
			"contactWindow": "3000ms", "configApply": "2000ms", "grace": "6s", "retryBudgetRatio": 0.2, "budgetWindow": "10s",
			"retryBudgetSlack": 200, "probesPerS": 42, "quotaWindow": "5s", "quotaOverrun": 0.1, "quotaSlack": 20,
		},
	}, rec)
	if err != nil {
		return false, err
	}
	defer sys.end()
	if err := sys.startAll(); err != nil {
		return false, err
	}
	for n := range 8 {
		if _, err := startInstance(sys, n+1, "huvo11a", 6, 60*time.Millisecond, func(*instance, string, *http.Request) {}); err != nil {
			return false, err
		}
	}
	if err := sys.put(tokenDocument(), 10*time.Second); err != nil {
		return false, err
	}
	if err := sys.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(configApply)
	c := &tokenClients{sys: sys, rec: rec}
	c.load(tokenUsual, 2*time.Second, 0)
	for range episodes {
		leaving := 0.0
		if trouble {
			leaving = leaveShare
			go slowDown(sys, "core-1")
		}
		rec.note("the tenants send %.1f times as much as usual", tokenHot)
		c.load(tokenUsual*tokenHot, hotTime, leaving)
		rec.note("the tenants send as usual")
		c.load(tokenUsual, pauseTime, 0)
	}
	inTouch := time.Now().Add(contactWindow)
	c.load(tokenUsual, contactWindow+calmTime, 0)
	c.wait.Wait()
	return c.judge(inTouch), nil
}

// judge applies the rule CONFIG to the requests sent while all machines were in touch.
func (c *tokenClients) judge(inTouch time.Time) (broken bool) {
	sent, long, unanswered := 0, 0, 0
	for _, t := range c.tries {
		if t.left || t.sent.Before(inTouch) {
			continue
		}
		sent++
		switch took := t.ended.Sub(t.sent); {
		case took > tokenTimeout+answerGrace:
			long++
			unanswered++
		case took > tokenTimeout:
			long++
		}
	}
	c.rec.say("all machines in touch, calm: %d requests, %d longer than the route's timeout, %d of them without an answer 0.5 s later", sent, long, unanswered)
	return unanswered >= 8 && 4*unanswered > long
}
