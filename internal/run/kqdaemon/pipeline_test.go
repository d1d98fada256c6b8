package kqdaemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqsoak"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqsettings"
)

// crossing is how long before the end of its connection a request may be sent that gets no
// response, because it crosses the close. A POST that was sent together with its GET does not cross
// the close that the response to the GET announces.
const crossing = 200 * time.Millisecond

// pipeliner is a caller that sends a GET and a POST in chunks right behind it, on one
// connection for as long as it is open.
type pipeliner struct {
	name, addr               string
	sent, answered, notTimed *atomic.Int64
	lost                     func(id string, behindClose bool, after time.Duration, err error)
}

// run sends pairs until nothing listens at the address.
func (p *pipeliner) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		conn, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for j := 0; p.pair(conn, r, fmt.Sprintf("%s-%d-%d", p.name, i, j)); j++ {
			time.Sleep(rand.N(20 * time.Millisecond))
		}
		conn.Close()
	}
}

// pair sends two requests and reports whether their connection is still open.
func (p *pipeliner) pair(conn net.Conn, r *bufio.Reader, id string) bool {
	names := kqproxy.DefaultHeaderNames
	head := fmt.Sprintf("Host: rent.example\r\n%s: 1500\r\n%s: %s", names.Deadline, names.RequestID, id)
	get := "GET /read/" + id + " HTTP/1.1\r\n" + head + "-get\r\n\r\n"
	post := "POST /file/" + id + " HTTP/1.1\r\n" + head + "-post\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfiling \r\n0\r\n\r\n"
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	together := rand.IntN(2) == 0
	if together {
		io.WriteString(conn, get+post)
	} else {
		io.WriteString(conn, get)
		time.Sleep(rand.N(5 * time.Millisecond))
		io.WriteString(conn, post)
	}
	sent := time.Now()
	p.sent.Add(2)
	closes := false
	for _, kind := range []string{"-get", "-post"} {
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		if err != nil {
			if after := time.Since(sent); after > crossing || together && closes {
				p.lost(id+kind, together && closes, after, err)
			} else {
				p.notTimed.Add(1)
			}
			return false
		}
		p.answered.Add(1)
		if got := res.Header.Get(names.RequestID); got != id+kind {
			p.lost(id+kind, true, time.Since(sent), fmt.Errorf("response to %q", got))
			return false
		}
		closes = res.Close
	}
	return !closes
}

// TestPlannedStopAnswersRequestsBehindEachOther stops an entry host while callers keep sending
// pairs of requests. It guards against the second one being read and dropped, because the
// response to the first closes the connection.
func TestPlannedStopAnswersRequestsBehindEachOther(t *testing.T) {
	f := newFleet(t)
	f.stopTimes = kqsettings.Stop{CacheTime: kqsettings.Duration(500 * time.Millisecond), Timeout: kqsettings.Duration(stopTimeout)}
	var addrs []string
	for i := range 3 {
		f.start(control(i), true)
		addrs = append(addrs, f.at(control(i), 4))
	}
	f.start(entry(0), true)
	f.voters(3)
	f.want(http.StatusOK, "PUT", f.at(control(0), 1), "/v1/routes", string(kqsoak.Routes(7, false)))
	ledger := kqsoak.NewLedger()
	target := kqsoak.StartTarget(kqsoak.TargetConfig{
		ID: "kekhai-1", Ledger: ledger, ControlAddrs: addrs, Slots: 4 * stopCallers,
		Work: func() time.Duration { return 20*time.Millisecond + rand.N(maxWork) },
	})
	defer target.Kill()
	calls := f.at(entry(0), 0)
	f.eventually("the target is served", func() string {
		if status, text := f.send("GET", calls, "/read/1", "", kqproxy.DefaultHeaderNames.RequestID, "first"); status/100 != 2 {
			return fmt.Sprint(status, text)
		}
		return ""
	})
	var callers sync.WaitGroup
	var sent, answered, crossed, lost, cut atomic.Int64
	for i := range stopCallers {
		p := &pipeliner{
			name: fmt.Sprintf("caller-%d", i), addr: calls, sent: &sent, answered: &answered, notTimed: &crossed,
			lost: func(id string, behindClose bool, after time.Duration, err error) {
				t.Logf("%s: no response %s after its last byte, behind a closing response: %t: %v", id, after.Round(time.Millisecond), behindClose, err)
				if behindClose {
					lost.Add(1)
				} else {
					cut.Add(1)
				}
			},
		}
		callers.Go(func() { p.run(t.Context()) })
	}
	time.Sleep(500 * time.Millisecond)
	stalled := measureStall()
	began := time.Now()
	f.hosts[entry(0)].Stop(make(chan struct{}))
	took := time.Since(began)
	stall := stalled()
	delete(f.hosts, entry(0))
	callers.Wait()
	t.Logf("%d sent, %d answered, %d crossed the close, %d lost behind a closing response, %d cut, the stop took %s, longest stall %s",
		sent.Load(), answered.Load(), crossed.Load(), lost.Load(), cut.Load(), took.Round(time.Millisecond), stall.Round(time.Millisecond))
	if lost.Load() > 0 {
		t.Errorf("%d requests lost behind a closing response", lost.Load())
	}
	// A process that is not scheduled for longer than it leaves before its end cannot answer.
	if cut.Load() > 0 && stall <= closingTime {
		t.Errorf("%d requests cut", cut.Load())
	}
	if took > stopTimeout+stopMargin {
		t.Errorf("the stop took %s", took)
	}
	if answered.Load() < 100 {
		t.Errorf("%d requests answered", answered.Load())
	}
}

// measureStall measures for how long the process was not scheduled at most, until the returned
// function is called.
func measureStall() func() time.Duration {
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		var worst time.Duration
		for {
			began := time.Now()
			select {
			case <-done:
				longest <- worst
				return
			case <-time.After(time.Millisecond):
			}
			worst = max(worst, time.Since(began)-time.Millisecond)
		}
	}()
	return func() time.Duration {
		close(done)
		return <-longest
	}
}
