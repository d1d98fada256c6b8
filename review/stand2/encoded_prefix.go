package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["encoded-prefix"] = encodedPrefix }

// encodedPrefix adds a route whose prefix has a percent-encoded character, beside one for all
// other paths of the host.
func encodedPrefix(r *run) (string, error) {
	f, err := startFleet(r, 3, 2)
	if err != nil {
		return "", err
	}
	const path = "/foto%20bak/"
	services := []string{"alpha", "beta"}
	rest := route{Name: "rest", PathPrefix: "/", RouteKind: "safe", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "alpha", Attempts: 2}
	photos := route{Name: "photos", PathPrefix: path, RouteKind: "upload", Timeout: "1000ms", TargetLatency: "250ms", Priority: 1, Service: "beta", Attempts: 2}
	if err := f.putConfig(newConfig(7, services, rest)); err != nil {
		return "", err
	}
	old, err := startInstances(f, "alpha", 3, 20*time.Millisecond)
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
	sendPhotos(f, "before", path)
	if !r.trouble {
		return "", nil
	}
	if err := f.putConfig(newConfig(12, services, rest, photos)); err != nil {
		return "", err
	}
	time.Sleep(configApply + time.Second)
	began := time.Now()
	for i := range 5 {
		sendPhotos(f, fmt.Sprintf("after%d", i), path)
		time.Sleep(time.Second / 2)
	}
	wrong, first := 0, ""
	for _, in := range old {
		for _, q := range in.all() {
			if q.at.After(began) {
				if wrong++; first == "" {
					first = q.id + " by " + in.id
				}
			}
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("%d requests were run by the old service later than configApply after the ack, first %s", wrong, first), nil
	}
	return "", nil
}

func sendPhotos(f *fleet, label, path string) {
	for _, n := range f.fronts {
		f.send(n, request{id: label + "-" + n.name, method: http.MethodPost, path: path + "1", body: "photo", deadline: 2 * time.Second})
	}
}
