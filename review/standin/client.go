package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// newID returns a request id that no other request has.
func newID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	body     []byte
	deadline time.Duration
}

// answer is what the client got; status 0 means that the connection ended without a
// complete answer.
type answer struct {
	status int
	seal   string
	body   []byte
	retry  time.Duration // Retry-After
	took   time.Duration
	err    error
}

// client is one client with a kept connection.
type client struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one client attempt over the kept connection, or over a new one.
func (c *client) send(q request) answer {
	began := time.Now()
	a := c.exchange(q)
	a.took = time.Since(began)
	if a.err != nil {
		c.close()
	}
	return a
}

func (c *client) exchange(q request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	req, err := http.NewRequest(q.method, "http://"+c.addr+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostName
	req.Header.Set(headerID, q.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	c.conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if err := req.Write(c.conn); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.r, req)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	if res.Close {
		c.close()
	}
	retry, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // absent: 0
	return answer{
		status: res.StatusCode, seal: res.Header.Get(headerSeal), body: body, retry: time.Duration(retry * float64(time.Second)),
	}
}
