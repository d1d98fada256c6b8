package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["host-port"] = hostPort }

// hostPort adds a virtual host whose name differs from that of another one by its port.
func hostPort(r *run) (string, error) {
	f, err := startFleet(r, 3, 2)
	if err != nil {
		return "", err
	}
	const second = clientHost + ":8443"
	services := []string{"alpha", "beta"}
	toAlpha := route{Name: "first", PathPrefix: "/orders/", RouteKind: "unsafe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "alpha", Attempts: 2}
	toBeta := toAlpha
	toBeta.Name, toBeta.Service = "second", "beta"
	if err := f.putConfig(newConfig(7, services, toAlpha)); err != nil {
		return "", err
	}
	first, err := startInstances(f, "alpha", 3, 20*time.Millisecond)
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
	sendOrders(f, "before", clientHost)
	if !r.trouble {
		return "", nil
	}
	c := newConfig(12, services, toAlpha)
	c.Hosts = append(c.Hosts, host{Host: second, Paths: []route{toBeta}})
	if err := f.putConfig(c); err != nil {
		return "", err
	}
	time.Sleep(configApply + time.Second)
	began := time.Now()
	for i := range 5 {
		sendOrders(f, fmt.Sprintf("after%d", i), second)
		time.Sleep(time.Second / 2)
	}
	wrong, example := 0, ""
	for _, in := range first {
		for _, q := range in.all() {
			if q.at.After(began) {
				if wrong++; example == "" {
					example = q.id + " by " + in.id
				}
			}
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("%d requests with the host %s were run by alpha, which no version allows, first %s", wrong, second, example), nil
	}
	return "", nil
}

func sendOrders(f *fleet, label, host string) {
	for _, n := range f.fronts {
		f.send(n, request{id: label + "-" + n.name, method: http.MethodPost, host: host, path: "/orders/1", body: "order", deadline: 2 * time.Second})
	}
}
