package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got: status 0 without an answer.
type answer struct {
	status int
	seal   string
	body   string
}

// request is one attempt of a client.
type request struct {
	id, method, path, key, body string
	host                        string // empty: clientHost
	deadline                    time.Duration
}

// send sends the request to the front machine on a new connection.
func (f *fleet) send(n *node, q request) answer {
	client := http.Client{Timeout: q.deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(q.method, "http://"+addr(n.ip, f.front)+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{}
	}
	req.Host = clientHost
	if q.host != "" {
		req.Host = q.host
	}
	req.Header.Set("X-Kumquatglade-Request-Id", q.id)
	req.Header.Set("X-Kumquatglade-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Authorization", "Token "+q.key)
	}
	f.run.note("client sends %s to %s: %s %s host %s key %q", q.id, n.name, q.method, q.path, req.Host, q.key)
	res, err := client.Do(req)
	if err != nil {
		f.run.note("client: %s has no answer: %v", q.id, err)
		return answer{}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, seal: res.Header.Get("X-Kumquatglade-Server-Seal"), body: string(text)}
	f.run.note("client: %s is answered %d %q (%v)", q.id, a.status, strings.TrimSpace(a.body), err)
	return a
}
