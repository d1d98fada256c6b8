package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// slots is how many requests an instance works on at once.
const slots = 6

// ran is one request that an instance has run.
type ran struct {
	at     time.Time
	id     string
	header http.Header
}

// instance is a stand-in for a sound instance of a service.
type instance struct {
	run      *run
	id       string
	service  string
	addr     string
	zone     string
	work     time.Duration
	born     int64
	seq      atomic.Uint64
	draining atomic.Bool
	running  atomic.Int64
	controls []string // addresses for its pings

	mu  sync.Mutex
	ran []ran
}

// startInstances starts n instances of the service and waits until each ping is acknowledged.
func startInstances(f *fleet, service string, n int, work time.Duration) ([]*instance, error) {
	var list []*instance
	for i := range n {
		in := &instance{run: f.run, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zoneOf(i), work: work, born: time.Now().UnixMilli()}
		for _, c := range f.cores {
			in.controls = append(in.controls, addr(c.ip, f.control))
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		in.addr = l.Addr().String()
		srv := &http.Server{Handler: in}
		go srv.Serve(l) //nolint:errcheck // it ends with the case
		f.run.atEnd(func() { srv.Close() })
		if err := await(startTime, func() bool { return in.ping("ready") }); err != nil {
			return nil, fmt.Errorf("%s: no acknowledged ping: %w", in.id, err)
		}
		done := make(chan struct{})
		f.run.atEnd(func() { close(done) })
		go in.beat(done)
		list = append(list, in)
	}
	f.run.note("%d instances of %s are announced", n, service)
	return list, nil
}

// beat sends a ping every heartbeat.
func (in *instance) beat(done <-chan struct{}) {
	const heartbeat = 1500 * time.Millisecond
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			in.ping(in.state())
		}
	}
}

func (in *instance) state() string {
	if in.draining.Load() {
		return "draining"
	}
	return "ready"
}

// leave reports that the instance drains and whether that was acknowledged. It goes on serving.
func (in *instance) leave() bool {
	in.draining.Store(true)
	return in.ping(in.state())
}

// ping reports the state to one core machine after the other until one acknowledges.
func (in *instance) ping(state string) bool {
	body, err := json.Marshal(map[string]any{
		"address": in.addr, "born": in.born,
		"info":   map[string]any{"service": in.service, "version": "v1", "zone": in.zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": in.seq.Add(1), "coldRemaining": "0ms"},
	})
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second}
	for _, c := range in.controls {
		req, err := http.NewRequest(http.MethodPut, "http://"+c+"/instances/"+in.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler: it runs requests and answers liveness checks.
func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	load := func() string { return fmt.Sprintf("%d,0,%d,100", in.running.Load(), slots) }
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Kumquatglade-Instance-Id", in.id)
		h.Set("X-Kumquatglade-Instance-Load", load())
		return
	}
	id := r.Header.Get("X-Kumquatglade-Request-Id")
	h.Set("X-Kumquatglade-Request-Id", id)
	if want := r.Header.Get("X-Kumquatglade-Expect-Instance"); want != "" && want != in.id {
		h.Set("X-Kumquatglade-Instance-Id", in.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Kumquatglade-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	at := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	in.running.Add(1)
	defer in.running.Add(-1)
	in.mu.Lock()
	in.ran = append(in.ran, ran{at: at, id: id, header: r.Header.Clone()})
	in.mu.Unlock()
	in.run.note("%s runs %s: %s %s", in.id, id, r.Method, r.RequestURI)
	time.Sleep(in.work)
	h.Set("X-Kumquatglade-Server-Seal", "seal."+id)
	h.Set("X-Kumquatglade-Instance-Load", load())
	fmt.Fprintf(w, "answer of %s to %s\n", in.id, id) // the caller may have left
}

// all returns what the instance has run.
func (in *instance) all() []ran {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]ran(nil), in.ran...)
}
