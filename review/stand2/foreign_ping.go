package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign-ping"] = foreignPing }

// drain is within which time after its ack an instance that leaves gets no new request.
const drain = 2 * time.Second

// foreignPing has another writer send one ping with fields missing, and then has the instance
// that it names report that it drains.
func foreignPing(r *run) (string, error) {
	f, err := startFleet(r, 3, 2)
	if err != nil {
		return "", err
	}
	const name = "alpha"
	rt := route{Name: "orders", PathPrefix: "/orders/", RouteKind: "unsafe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: name, Attempts: 2}
	if err := f.putConfig(newConfig(7, []string{name}, rt)); err != nil {
		return "", err
	}
	instances, err := startInstances(f, name, 3, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	leaving := instances[0]
	if r.trouble {
		if err := pingByOther(f, leaving); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Second) // the later pings of the instance arrive
	if !leaving.leave() {
		return "", fmt.Errorf("%s got no ack for its draining ping", leaving.id)
	}
	acked := time.Now()
	r.note("%s: its ping that it drains is acknowledged", leaving.id)
	for i := 0; time.Since(acked) < drain+3*time.Second; i++ {
		for _, n := range f.fronts {
			f.send(n, request{id: fmt.Sprintf("order-%d-%s", i, n.name), method: http.MethodPost, path: "/orders/1", body: "order", deadline: 2 * time.Second})
		}
		time.Sleep(50 * time.Millisecond)
	}
	late, first := 0, ""
	for _, q := range leaving.all() {
		if q.at.Sub(acked) > drain {
			if late++; first == "" {
				first = fmt.Sprintf("%s %.3f s after the ack", q.id, q.at.Sub(acked).Seconds())
			}
		}
	}
	if late > 0 {
		return fmt.Sprintf("%d requests reached %s later than drain after the ack that it drains, first %s", late, leaving.id, first), nil
	}
	return "", nil
}

// pingByOther sends a ping of another writer about the instance: born, version and coldRemaining
// are missing, and its own count of calls is higher.
func pingByOther(f *fleet, in *instance) error {
	body, err := json.Marshal(map[string]any{
		"address": in.addr,
		"info":    map[string]any{"service": in.service, "zone": in.zone, "slots": slots - 1},
		"status":  map[string]any{"state": "ready", "seq": 5000},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+addr(f.cores[0].ip, f.control)+"/instances/"+in.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	res.Body.Close()
	f.run.note("another writer: PUT /instances/%s without born, version and coldRemaining is answered %d", in.id, res.StatusCode)
	return nil
}
