package kqsoak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const proxyWait = 100 * time.Millisecond // in which nothing may arrive

// echo listens and sends each line back to its sender.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// TestProxy guards against a proxy whose faults do nothing, or that goes on with them: each
// fault must be seen by the side that connects, and a new connection must work after it.
func TestProxy(t *testing.T) {
	cases := []struct {
		name  string
		start func(p *Proxy)
		late  bool // the line arrives once the fault is over
		gone  bool // the connection ends
		never bool // the line never arrives
	}{
		{name: "passes on", start: func(*Proxy) {}},
		{name: "delay", start: func(p *Proxy) { p.Interfere(Interference{Delay: proxyWait / 10}) }},
		{name: "slow", start: func(p *Proxy) { p.Interfere(Interference{Slow: true}) }},
		{name: "cut both ways", start: func(p *Proxy) { p.Interfere(Interference{Held: [2]bool{true, true}}) }, late: true},
		{name: "cut forward", start: func(p *Proxy) { p.Interfere(Interference{Held: [2]bool{true, false}}) }, late: true},
		{name: "cut backward", start: func(p *Proxy) { p.Interfere(Interference{Held: [2]bool{false, true}}) }, late: true},
		{name: "reset", start: (*Proxy).Reset, gone: true},
		{name: "silence", start: (*Proxy).Silence, never: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, err := StartProxy(echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			conn, r := dialProxy(t, p)
			if err := exchangeLine(conn, r, "before", time.Second); err != nil {
				t.Fatal(err)
			}
			c.start(p)
			err = exchangeLine(conn, r, "during", proxyWait)
			switch timeout := errors.Is(err, os.ErrDeadlineExceeded); {
			case c.gone && (err == nil || timeout), !c.gone && (c.late || c.never) != timeout:
				t.Fatalf("during the fault: %v", err)
			}
			p.Interfere(Interference{})
			if c.late {
				conn.SetReadDeadline(time.Now().Add(time.Second))
				if line, err := r.ReadString('\n'); line != "during\n" {
					t.Errorf("%q after the fault: %v", line, err)
				}
			}
			if c.gone && p.Late(time.Now()) {
				t.Error("a reset delays nothing")
			}
			conn, r = dialProxy(t, p)
			if err := exchangeLine(conn, r, "after", time.Second); err != nil {
				t.Error(err)
			}
		})
	}
}

func dialProxy(t *testing.T, p *Proxy) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func exchangeLine(conn net.Conn, r *bufio.Reader, line string, limit time.Duration) error {
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return err
	}
	got, err := r.ReadString('\n')
	if err == nil && got != line+"\n" {
		return fmt.Errorf("got %q, want %q", got, line)
	}
	return err
}
