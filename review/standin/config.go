package main

import "encoding/json"

// route is one route of a desired state.
type route struct {
	Name          string `json:"name"`
	PathPrefix    string `json:"pathPrefix"`
	RouteKind     string `json:"routeKind"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"targetLatency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	Attempts      int    `json:"attempts"`
}

const hostName = "review.example"

// desiredState returns a desired state in the form of PROTOCOL.md.
func desiredState(version string, services []string, routes ...route) []byte {
	type service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"healthPath"`
		MaxConnections int    `json:"maxConnections"`
		Protocol       string `json:"protocol"`
		TLS            bool   `json:"tls"`
	}
	var list []service
	for _, s := range services {
		list = append(list, service{s, "/health", 240, "h1", false})
	}
	p, err := json.Marshal(map[string]any{
		"version": version, "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"host": hostName, "paths": routes}},
	})
	if err != nil {
		panic(err)
	}
	return p
}
