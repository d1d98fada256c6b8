package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["version-zero"] = versionZero }

// configApply is within which time after its ack a version binds all machines in touch.
const configApply = 2 * time.Second

// versionZero plays an operator whose first version is 00000000, and whose next one changes the
// timeout of one of two routes.
func versionZero(r *run) (string, error) {
	f, err := startFleet(r, 3, 2)
	if err != nil {
		return "", err
	}
	kept := route{Name: "kept", PathPrefix: "/kept/", RouteKind: "safe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "alpha", Attempts: 2}
	changed := route{Name: "changed", PathPrefix: "/changed/", RouteKind: "safe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "alpha", Attempts: 2}
	services := []string{"alpha"}
	if err := f.putConfig(newConfig(0, services, kept, changed)); err != nil {
		return "", err
	}
	if _, err := startInstances(f, "alpha", 3, 20*time.Millisecond); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(configApply + time.Second)
	if bad := sendToAll(f, "before", "/kept/1", "/changed/1"); len(bad) > 0 {
		return "", fmt.Errorf("not served before the change: %v", bad)
	}
	if r.trouble {
		changed.Timeout = "900ms"
		if err := f.putConfig(newConfig(5, services, kept, changed)); err != nil {
			return "", err
		}
	}
	time.Sleep(configApply + time.Second)
	var bad []string
	for i := range 5 {
		bad = append(bad, sendToAll(f, fmt.Sprintf("after%d", i), "/kept/1", "/changed/1")...)
		time.Sleep(time.Second)
	}
	if len(bad) > 0 {
		return fmt.Sprintf("routes of all versions are not served later than configApply after the ack: %v", bad), nil
	}
	return "", nil
}

// sendToAll sends a request for each path to each front machine and returns those that are
// refused with 404.
func sendToAll(f *fleet, label string, paths ...string) (bad []string) {
	for _, n := range f.fronts {
		for _, p := range paths {
			q := request{id: label + p + "-" + n.name, method: http.MethodGet, path: p, deadline: 2 * time.Second}
			if a := f.send(n, q); a.status == http.StatusNotFound {
				bad = append(bad, fmt.Sprintf("%s %d", q.id, a.status))
			}
		}
	}
	return bad
}
