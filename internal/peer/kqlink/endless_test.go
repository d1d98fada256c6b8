package kqlink

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestStrangersAreCutOff guards against strangers who connect to the peers' address and send
// bytes without end, too slowly or none: each must be cut off in the time of a handshake.
func TestStrangersAreCutOff(t *testing.T) {
	const line = `{"host":"h2","nonce":"00112233445566778899aabbccddeeff"`
	for name, c := range map[string]struct {
		repeated string
		pause    time.Duration
	}{
		"one line without end":   {strings.Repeat("x", 1<<10), 0},
		"lines without end":      {line + "}\n", 0},
		"zeros":                  {strings.Repeat("\x00", 1<<10), 0},
		"a byte now and then":    {" ", 100 * time.Millisecond},
		"nothing":                {"", 100 * time.Millisecond},
		"a huge message at once": {string(binary.AppendUvarint(nil, maxMessage<<1)) + strings.Repeat("x", 1<<10), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := addrs(t, 1)
			m := listen(t, "h1", a[0], "secret-1", newInbox())
			conn, err := net.Dial("tcp", a[0])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			started := time.Now()
			closed := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, conn) // until the host closes
				close(closed)
			}()
			sent := 0
			for open := true; open && time.Since(started) < 2*handshakeTimeout; {
				_ = conn.SetWriteDeadline(time.Now().Add(handshakeTimeout))
				n, err := io.WriteString(conn, c.repeated)
				sent += n
				select {
				case <-closed:
					open = false
				case <-time.After(c.pause):
					open = err == nil
				}
			}
			if took := time.Since(started); took > 2*handshakeTimeout {
				t.Errorf("still connected after %v and %d bytes", took, sent)
			}
			<-closed
			if len(m.conns) != 0 {
				t.Error("a stranger has a link")
			}
		})
	}
}

// TestPeerLinksAmongStrangers guards against strangers who connect without end and say nothing:
// the connections that wait are bounded, and a peer gets its link meanwhile.
func TestPeerLinksAmongStrangers(t *testing.T) {
	a := addrs(t, 2)
	in := newInbox()
	m := listen(t, "h1", a[0], "secret-1", in)
	for range maxGreetings + 200 {
		conn, err := net.Dial("tcp", a[0])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	peer := listen(t, "h2", a[1], "secret-1", newInbox())
	peer.Dial("h1", a[0])
	select {
	case <-in.links:
	case <-time.After(dialHeadStart + 10*time.Second):
		t.Error("the peer has no link")
	}
	m.greetingsMu.Lock()
	defer m.greetingsMu.Unlock()
	if n := len(m.greetings); n > maxGreetings {
		t.Errorf("%d connections wait, want at most %d", n, maxGreetings)
	}
}

// TestAnnouncedMessageTakesNoMemory guards against the length of a message that is believed
// before its bytes have come.
func TestAnnouncedMessageTakesNoMemory(t *testing.T) {
	const bound = 1 << 20
	for _, compressed := range []uint64{0, 1} {
		r, w := io.Pipe()
		go func() {
			_, _ = w.Write(append(binary.AppendUvarint(nil, maxMessage<<1|compressed), "{}"...))
			w.Close()
		}()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var v any
		err := codec{metrics.NewCounter(), metrics.NewCounter()}.ReadObject(bufio.NewReader(r), &v)
		runtime.ReadMemStats(&after)
		if took := after.TotalAlloc - before.TotalAlloc; err == nil || took > bound {
			t.Errorf("%v, took %d bytes, want an error and at most %d", err, took, bound)
		}
	}
}
