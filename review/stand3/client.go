package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// try is one attempt of a client, a request of its own.
type try struct {
	id      string
	entry   string // address of the entry host
	sent    time.Time
	ended   time.Time
	status  int // 0: no answer
	seal    string
	retry   time.Duration
	left    bool // the client left
	timeout bool // the client's time was up
	err     error
}

// outcome says how the try ended.
func (t *try) outcome() string {
	switch {
	case t.status != 0:
		return strconv.Itoa(t.status)
	case t.left:
		return "the client left"
	case t.timeout:
		return "no answer, the client's time is up"
	}
	return fmt.Sprint(t.err)
}

// call is what a client asks for.
type call struct {
	method, host, path string
	header             map[string]string
	body               []byte
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the call to an entry host over a new connection. The client waits until the
// deadline; if leave is not 0, it leaves after that time.
func (c call) send(entry string, deadline time.Time, leave time.Duration) (t try) {
	t = try{id: newID(), entry: entry, sent: time.Now()}
	defer func() { t.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		t.err = err
		return t
	}
	defer conn.Close()
	end := deadline
	if leave > 0 && t.sent.Add(leave).Before(end) {
		end = t.sent.Add(leave)
	}
	_ = conn.SetDeadline(end) // a failure shows at the next write
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Kumquatglade-Request-Id: %s\r\nX-Kumquatglade-Deadline-Ms: %d\r\n",
		c.method, c.path, c.host, t.id, time.Until(deadline).Milliseconds())
	for k, v := range c.header {
		fmt.Fprintf(conn, "%s: %s\r\n", k, v)
	}
	if len(c.body) > 0 {
		fmt.Fprintf(conn, "Content-Length: %d\r\n", len(c.body))
	}
	fmt.Fprintf(conn, "\r\n%s", c.body)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(res.Body)
	}
	switch {
	case err == nil:
		t.status, t.seal = res.StatusCode, res.Header.Get("X-Kumquatglade-Server-Seal")
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			t.retry = time.Duration(s * float64(time.Second))
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.left, t.timeout = end.Before(deadline), !end.Before(deadline)
	default:
		t.err = err
	}
	return t
}
