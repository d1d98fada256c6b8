package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// config is a desired state. Times are written as the pages say.
type config struct {
	Version  string    `json:"version"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Hosts    []host    `json:"virtualHosts"`
	Tenants  []tenant  `json:"tenants,omitempty"`
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type limits struct {
	MaxHeaderBytes int    `json:"maxHeaderBytes"`
	MaxBodyBytes   int    `json:"maxBodyBytes"`
	HeaderTimeout  string `json:"headerTimeout"`
	IdleTimeout    string `json:"idleTimeout"`
}

type host struct {
	Host  string  `json:"host"`
	Paths []route `json:"paths"`
}

type route struct {
	Name          string `json:"name"`
	PathPrefix    string `json:"pathPrefix"`
	RouteKind     string `json:"routeKind"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"targetLatency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	Attempts      int    `json:"attempts"`
	AuthExempt    bool   `json:"authExempt,omitempty"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// clientHost is the host of all routes.
const clientHost = "review.example"

// newConfig returns a desired state with the routes.
func newConfig(version uint32, services []string, routes ...route) config {
	c := config{
		Version: fmt.Sprintf("%08x", version),
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"},
		Hosts:   []host{{Host: clientHost, Paths: routes}},
	}
	for _, s := range services {
		c.Services = append(c.Services, service{Name: s, HealthPath: "/health", MaxConnections: 240, Protocol: "h1"})
	}
	return c
}

// putTries is how often a desired state is sent: for half a minute, if nobody answers it.
const putTries = 30

// putConfig sends the desired state until it is acknowledged, to one core machine after the
// other, as the operator of the pages does.
func (f *fleet) putConfig(c config) error {
	p, err := json.Marshal(c)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	for try := 0; try < putTries; try++ {
		n := f.cores[try%len(f.cores)]
		req, err := http.NewRequest(http.MethodPut, "http://"+addr(n.ip, f.control)+"/config", bytes.NewReader(p))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err == nil {
			text, _ := io.ReadAll(res.Body) // only for the record
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				f.run.note("operator: PUT /config of version %s acknowledged by %s", c.Version, n.name)
				return nil
			}
			if res.StatusCode == http.StatusBadRequest {
				return fmt.Errorf("desired state refused: %s", text)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("version %s was not acknowledged", c.Version)
}
