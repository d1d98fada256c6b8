package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// instance is a stand-in for an instance of a service, as PROTOCOL.md describes it.
type instance struct {
	sys     *system
	id      string
	service string
	addr    string
	born    int64
	slots   int64
	work    time.Duration
	ran     func(i *instance, id string, r *http.Request) // a request begins to run
	running atomic.Int64
	busy    chan struct{}
	stop    chan struct{}
	seq     atomic.Int64
}

// startInstance starts an instance that announces itself.
func startInstance(s *system, n int, service string, slots int, work time.Duration, ran func(*instance, string, *http.Request)) (*instance, error) {
	i := &instance{
		sys: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, addr: s.addr(s.ip(3, n), portInstance), born: time.Now().UnixMilli(),
		slots: int64(slots), work: work, ran: ran, busy: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", i.addr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go srv.Serve(l) //nolint:errcheck // ends with the process
	go i.beat()
	return i, nil
}

func (i *instance) beat() {
	client := http.Client{Timeout: time.Second}
	for n := 0; ; n++ {
		body, _ := json.Marshal(map[string]any{
			"address": i.addr, "born": i.born,
			"info":   map[string]any{"service": i.service, "version": "v1", "zone": "z-a", "slots": i.slots},
			"status": map[string]any{"state": "ready", "seq": i.seq.Add(1), "coldRemaining": "0ms"},
		})
		delay := 1500 * time.Millisecond
		ip := i.sys.ip(1, 1+n%i.sys.plan.controls)
		req, err := http.NewRequest(http.MethodPut, "http://"+i.sys.addr(ip, portControl)+"/instances/"+i.id, bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			res, err := client.Do(req)
			if err != nil || res.StatusCode/100 != 2 {
				delay = 200 * time.Millisecond
			}
			if err == nil {
				res.Body.Close()
			}
		}
		select {
		case <-i.stop:
			return
		case <-time.After(delay):
		}
	}
}

// ServeHTTP answers health checks and runs requests.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Kumquatglade-Instance-Load", fmt.Sprintf("%d,0,%d,100", i.running.Load(), i.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Kumquatglade-Instance-Id", i.id)
		return
	}
	id := r.Header.Get("X-Kumquatglade-Request-Id")
	h.Set("X-Kumquatglade-Request-Id", id)
	if want := r.Header.Get("X-Kumquatglade-Expect-Instance"); want != "" && want != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case i.busy <- struct{}{}:
		defer func() { <-i.busy }()
	default:
		h.Set("X-Kumquatglade-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.running.Add(1)
	defer i.running.Add(-1)
	i.ran(i, id, r)
	select {
	case <-time.After(i.work):
	case <-r.Context().Done():
		return
	}
	body := []byte("answer to " + id + "\n")
	h.Set("X-Kumquatglade-Server-Seal", fmt.Sprintf("3e1b.07.%x.0", len(body)))
	h.Set("X-Kumquatglade-Instance-Load", fmt.Sprintf("%d,0,%d,100", i.running.Load()-1, i.slots))
	_, _ = w.Write(body) // the caller may have left
}
