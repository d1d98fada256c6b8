package kqlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
)

// inbox is a Receiver that keeps what arrives.
type inbox struct {
	messages chan string
	links    chan bool
}

func newInbox() inbox {
	return inbox{make(chan string, 100), make(chan bool, 100)}
}

func (i inbox) Receive(peer, kind string, body json.RawMessage) {
	i.messages <- peer + " " + kind + " " + string(body)
}

func (i inbox) HandleRequest(_ context.Context, peer, kind string, body json.RawMessage) (any, error) {
	if kind == "refuse" {
		return nil, errors.New("refused")
	}
	return peer + " " + kind + " " + string(body), nil
}

func (i inbox) LinkChanged(_ string, up bool) {
	i.links <- up
}

func listen(t *testing.T, host, addr, secret string, in inbox) *Mesh {
	t.Helper()
	m, err := Listen(Config{
		Host: host, Listen: addr, Secret: secret, Clock: kqevent.NewClock(time.Now), Log: kqlog.Discard(),
		Metrics: metrics.NewRegistry(), Receiver: in,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

func addrs(t *testing.T, n int) []string {
	t.Helper()
	list, err := kqsocket.FreeAddrs(n)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestMessagesGoBothWays(t *testing.T) {
	a := addrs(t, 2)
	in1, in2 := newInbox(), newInbox()
	m1 := listen(t, "h1", a[0], "secret-1", in1)
	m2 := listen(t, "h2", a[1], "secret-1", in2)
	m1.Dial("h2", a[1])
	m2.Dial("h1", a[0])
	if !<-in1.links || !<-in2.links {
		t.Fatal("no link")
	}
	m1.Send("h2", "note", 7)
	if got := <-in2.messages; got != "h1 note 7" {
		t.Fatal(got)
	}
	m2.Send("h1", "note", 8)
	if got := <-in1.messages; got != "h2 note 8" {
		t.Fatal(got)
	}
	var out string
	if err := m2.Call(context.Background(), "h1", "ask", 9, &out); err != nil || out != "h2 ask 9" {
		t.Fatal(out, err)
	}
	if err := m2.Call(context.Background(), "h1", "refuse", 9, &out); err == nil {
		t.Fatal("an error was lost")
	}
	m1.Close()
	if <-in2.links {
		t.Fatal("the link does not break")
	}
	if err := m2.Call(context.Background(), "h1", "ask", 9, &out); err == nil {
		t.Fatal("called without a link")
	}
}

func TestHostReachesItself(t *testing.T) {
	in := newInbox()
	m := listen(t, "h1", addrs(t, 1)[0], "secret-1", in)
	m.Send("h1", "note", "x")
	if got := <-in.messages; got != `h1 note "x"` {
		t.Fatal(got)
	}
	var out string
	if err := m.Call(context.Background(), "h1", "ask", 1, &out); err != nil || out != "h1 ask 1" {
		t.Fatal(out, err)
	}
}

func TestUnauthenticatedConnectionsAreRejected(t *testing.T) {
	cases := []struct {
		name  string
		lines string // what the stranger sends, without knowing the secret
	}{
		{"nothing readable", "GET / HTTP/1.1\r\n\r\n"},
		{"no nonce", `{"host":"h2"}` + "\n"},
		{"the host's own name", `{"host":"h1","nonce":"00112233445566778899aabbccddeeff"}` + "\n"},
		{"a guessed proof", `{"host":"h2","nonce":"00112233445566778899aabbccddeeff"}` + "\n" + `{"proof":"00"}` + "\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := addrs(t, 1)
			in := newInbox()
			m := listen(t, "h1", a[0], "secret-1", in)
			raw, err := net.Dial("tcp", a[0])
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			if _, err := raw.Write([]byte(c.lines)); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(raw)
			for { // until the host closes
				if _, err := r.ReadByte(); err != nil {
					break
				}
			}
			m.Close()
			if n := m.rejected.Count(); n != 1 || len(in.links) != 0 {
				t.Fatalf("%d rejected, %d links", n, len(in.links))
			}
		})
	}
}

// TestEncodedMessages: a message encoded once reaches all peers that are linked, large
// or small, in order with others.
func TestEncodedMessages(t *testing.T) {
	a := addrs(t, 3)
	in := []inbox{newInbox(), newInbox(), newInbox()}
	var m []*Mesh
	for i, name := range []string{"h1", "h2", "h3"} {
		m = append(m, listen(t, name, a[i], "secret-1", in[i]))
	}
	m[0].Dial("h2", a[1])
	m[0].Dial("h3", a[2])
	for _, x := range []inbox{in[0], in[0], in[1], in[2]} {
		if !<-x.links {
			t.Fatal("no link")
		}
	}
	peers := []string{"h1", "h2", "h3", "h4"}
	broadcast := func(body any) {
		p, err := m[0].Encode("note", body)
		if err != nil {
			t.Fatal(err)
		}
		m[0].SendEncoded(peers, p)
	}
	large := strings.Repeat("7", 2*minCompressSize)
	broadcast(7)
	m[0].Send("h2", "note", 8)
	m[0].Send("h3", "note", 8)
	broadcast(large)
	for i, want := range [][]string{{"7", `"` + large + `"`}, {"7", "8", `"` + large + `"`}, {"7", "8", `"` + large + `"`}} {
		for _, body := range want {
			if got := <-in[i].messages; got != "h1 note "+body {
				t.Fatalf("peer %d got %.40q, want %.40q", i+1, got, body)
			}
		}
	}
}

// BenchmarkEncoded is one message of 40 changes to 60 peers: encoded for each of
// them, or once.
func BenchmarkEncoded(b *testing.B) {
	type change struct{ ID, Service, Addr, Domain, State string }
	var list []change
	for i := range 40 {
		list = append(list, change{strconv.Itoa(i * 7919), "kekhai", "10.1.64." + strconv.Itoa(i), "vn-south-a", "ready"})
	}
	c := codec{sent: metrics.NewCounter()}
	mesh := &Mesh{clock: kqevent.NewClock(time.Now)}
	const peers = 60
	b.Run("each", func(b *testing.B) {
		for b.Loop() {
			for range peers {
				p, err := mesh.Encode("changes", list)
				if err != nil {
					b.Fatal(err)
				}
				c.writeFrame(io.Discard, p)
			}
		}
	})
	b.Run("once", func(b *testing.B) {
		for b.Loop() {
			p, err := mesh.Encode("changes", list)
			if err != nil {
				b.Fatal(err)
			}
			for range peers {
				c.writeFrame(io.Discard, p)
			}
		}
	})
}

func TestWrongSecretIsRejected(t *testing.T) {
	a := addrs(t, 2)
	in := newInbox()
	m1 := listen(t, "h1", a[0], "secret-1", in)
	m2 := listen(t, "h2", a[1], "secret-2", newInbox())
	if err := m2.dial(context.Background(), "h1", a[0]); err == nil {
		t.Fatal("linked")
	}
	m1.Close()
	if len(in.links) != 0 {
		t.Fatal("linked")
	}
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x01, '{'})
	c := codec{metrics.NewCounter(), metrics.NewCounter()}
	f.Fuzz(func(_ *testing.T, p []byte) {
		var v map[string]any
		c.ReadObject(bufio.NewReader(bytes.NewReader(p)), &v) // must neither crash nor take memory for a length alone
	})
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// lateInbox hears of a broken link slowly.
type slowInbox struct{ inbox }

func (i slowInbox) LinkChanged(peer string, up bool) {
	if !up {
		time.Sleep(200 * time.Millisecond)
	}
	i.inbox.LinkChanged(peer, up)
}

// TestLinksAreToldInOrder: a peer that comes back while its broken link is still
// being told of counts as linked in the end.
func TestLinkChangesAreReportedInOrder(t *testing.T) {
	a := addrs(t, 2)
	late := slowInbox{newInbox()}
	m, err := Listen(Config{
		Host: "h1", Listen: a[0], Secret: "secret-1", Clock: kqevent.NewClock(time.Now), Log: kqlog.Discard(),
		Metrics: metrics.NewRegistry(), Receiver: late,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	first := listen(t, "h2", a[1], "secret-1", newInbox())
	first.Dial("h1", a[0])
	if !<-late.links {
		t.Fatal("no link")
	}
	first.Close()
	listen(t, "h2", a[1], "secret-1", newInbox()).Dial("h1", a[0])
	if one, two := <-late.links, <-late.links; one || !two {
		t.Fatalf("told up %v, then up %v", one, two)
	}
}

// flaky is a listener of which every second accept fails for want of descriptors.
type flakyListener struct {
	net.Listener
	n int
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if f.n++; f.n%2 == 1 {
		return nil, errors.New("accept: too many open files")
	}
	return f.Listener.Accept()
}

// TestAcceptGoesOnAfterAnError: a host that was short of descriptors for a
// moment must not stay deaf to its peers.
func TestAcceptGoesOnAfterAnError(t *testing.T) {
	a := addrs(t, 2)
	l, err := net.Listen("tcp", a[0])
	if err != nil {
		t.Fatal(err)
	}
	in := newInbox()
	m := start(Config{
		Host: "h1", Secret: "secret-1", Clock: kqevent.NewClock(time.Now), Log: kqlog.Discard(),
		Metrics: metrics.NewRegistry(), Receiver: in,
	}, &flakyListener{Listener: l})
	t.Cleanup(m.Close)
	listen(t, "h2", a[1], "secret-1", newInbox()).Dial("h1", a[0])
	if !<-in.links {
		t.Fatal("no link")
	}
}
