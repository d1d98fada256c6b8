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
	rest := route{Name: "rest", PathPrefix: "/", RouteKind: "safe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 2, Service: "alpha", Attempts: 2}
	orders := route{Name: "orders", PathPrefix: "/orders/", RouteKind: "unsafe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "beta", Attempts: 2}
	services := []string{"alpha", "beta"}
	if err := f.putConfig(newConfig(0, services, rest, orders)); err != nil {
		return "", err
	}
	others, err := startInstances(f, "alpha", 3, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	if _, err := startInstances(f, "beta", 3, 20*time.Millisecond); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(configApply + time.Second)
	placeOrders(f, "before")
	if r.trouble {
		rest.Timeout = "900ms"
		if err := f.putConfig(newConfig(5, services, rest, orders)); err != nil {
			return "", err
		}
	}
	time.Sleep(configApply + time.Second)
	for i := range 5 {
		placeOrders(f, fmt.Sprintf("after%d", i))
		time.Sleep(time.Second)
	}
	wrong, first := 0, ""
	for _, in := range others {
		for _, q := range in.all() {
			if wrong++; first == "" {
				first = q.id + " by " + in.id
			}
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("%d orders were run by alpha, to which no version lets them go, first %s", wrong, first), nil
	}
	return "", nil
}

// placeOrders sends an order to each front machine.
func placeOrders(f *fleet, label string) {
	for _, n := range f.fronts {
		f.send(n, request{id: label + "-" + n.name, method: http.MethodPost, path: "/orders/1", body: "order", deadline: 2 * time.Second})
	}
}
