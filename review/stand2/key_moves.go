package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["key-moves"] = keyMoves }

const (
	uploads      = 40
	uploadParts  = 20
	uploadPause  = 50 * time.Millisecond // between two parts
	uploadBudget = 5 * time.Second
)

// keyMoves moves a key from one tenant to another while clients upload with it.
func keyMoves(r *run) (string, error) {
	f, err := startFleet(r, 3, 2)
	if err != nil {
		return "", err
	}
	const key = "qnirth5mgjy5rcpihhac"
	rt := route{Name: "photos", PathPrefix: "/photos/", RouteKind: "upload", Timeout: "4000ms", TargetLatency: "2000ms", Priority: 1, Service: "alpha", Attempts: 2}
	before, after := newConfig(7, []string{"alpha"}, rt), newConfig(12, []string{"alpha"}, rt)
	before.Tenants = []tenant{{Name: "tenant-1", APIKeys: []string{key}}, {Name: "tenant-2", APIKeys: []string{"5mgjy5rcpihhacqnirth"}}}
	after.Tenants = []tenant{{Name: "tenant-1", APIKeys: []string{}}, {Name: "tenant-2", APIKeys: []string{"5mgjy5rcpihhacqnirth", key}}}
	if err := f.putConfig(before); err != nil {
		return "", err
	}
	if _, err := startInstances(f, "alpha", 8, 20*time.Millisecond); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(configApply + time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for i := range uploads {
		wg.Go(func() {
			status := f.upload(f.fronts[i%len(f.fronts)], fmt.Sprintf("photo-%d", i), key)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	time.Sleep(uploadParts * uploadPause / 2)
	if r.trouble {
		if err := f.putConfig(after); err != nil {
			return "", err
		}
	}
	wg.Wait()
	r.note("answers by status: %v", statuses)
	if n := statuses[http.StatusUnauthorized]; n > 5+uploads/500 {
		return fmt.Sprintf("%d of %d requests are refused with 401 although both versions allow them", n, uploads), nil
	}
	return "", nil
}

// upload sends a body slowly and returns the status of the answer, 0 without one.
func (f *fleet) upload(n *node, id, key string) int {
	c, err := net.Dial("tcp", addr(n.ip, f.front))
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadBudget)) // a failure shows at the next call
	part := strings.Repeat("x", 1000)
	f.run.note("client begins to send %s to %s", id, n.name)
	fmt.Fprintf(c, "POST /photos/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Kumquatglade-Request-Id: %s\r\n"+
		"X-Kumquatglade-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", clientHost, key, id, uploadBudget.Milliseconds(), uploadParts*len(part))
	for range uploadParts {
		time.Sleep(uploadPause)
		fmt.Fprint(c, part)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.run.note("client: %s has no answer: %v", id, err)
		return 0
	}
	res.Body.Close()
	f.run.note("client: %s is answered %d", id, res.StatusCode)
	return res.StatusCode
}
