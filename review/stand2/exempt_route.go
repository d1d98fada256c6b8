package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["exempt-route"] = exemptRoute }

// exemptRoute exempts a route from keys by a change of the desired state, while clients that
// know of no change go on to present theirs.
func exemptRoute(r *run) (string, error) {
	f, err := startFleet(r, 3, 2)
	if err != nil {
		return "", err
	}
	const key = "qnirth5mgjy5rcpihhac"
	private := route{Name: "private", PathPrefix: "/private/", RouteKind: "safe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "alpha", Attempts: 2}
	c := newConfig(7, []string{"alpha"}, private)
	c.Tenants = []tenant{{Name: "tenant-1", APIKeys: []string{key}}}
	if err := f.putConfig(c); err != nil {
		return "", err
	}
	instances, err := startInstances(f, "alpha", 3, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(configApply + time.Second)
	sendKeyed(f, "before", key)
	if r.trouble {
		private.AuthExempt = true
		c = newConfig(12, []string{"alpha"}, private)
		c.Tenants = []tenant{{Name: "tenant-1", APIKeys: []string{key}}}
		if err := f.putConfig(c); err != nil {
			return "", err
		}
	}
	for i := range 10 { // within configApply of the ack
		sendKeyed(f, fmt.Sprintf("after%d", i), key)
		time.Sleep(100 * time.Millisecond)
	}
	for _, in := range instances {
		for _, q := range in.all() {
			if v := q.header.Get("Authorization"); v != "" {
				return fmt.Sprintf("%s ran %s, to which the key was passed on: Authorization %q", in.id, q.id, v), nil
			}
		}
	}
	return "", nil
}

func sendKeyed(f *fleet, label, key string) {
	for _, n := range f.fronts {
		f.send(n, request{id: label + "-" + n.name, method: http.MethodGet, path: "/private/1", key: key, deadline: 2 * time.Second})
	}
}
