package kqlink

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestReceiving guards against a host that gives up its peer, or counts it as silent,
// while a long message of it is arriving over a slow link.
func TestReceiving(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	counter := metrics.NewCounter()
	raw := &watchedConn{Conn: here}
	c := &conn{raw: raw, stream: &stream{raw: raw, r: bufio.NewReader(raw), codec: codec{counter, counter}}}
	read := make(chan error, 1)
	go func() {
		var v string
		read <- c.stream.ReadObject(&v)
	}()
	if c.receiving(time.Now()) {
		t.Error("receiving before a message has begun")
	}
	frame, err := encode("a long message")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := there.Write(frame[:4]); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for !c.receiving(time.Now()) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("not receiving in the middle of a message")
		}
		time.Sleep(time.Millisecond)
	}
	if c.receiving(time.Now().Add(2 * maxReadPause)) {
		t.Error("still receiving long after the last byte")
	}
	if sign := c.lastSign(); sign == 0 || time.Since(time.Unix(0, sign)) > time.Second {
		t.Error("bytes of a message are no sign of life")
	}
	if _, err := there.Write(frame[4:]); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil || c.receiving(time.Now()) {
		t.Errorf("%v, receiving %v after the message", err, c.receiving(time.Now()))
	}
}
