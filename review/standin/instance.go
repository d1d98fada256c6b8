package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID          = "X-Kumquatglade-Request-Id"
	headerDeadline    = "X-Kumquatglade-Deadline-Ms"
	headerExpect      = "X-Kumquatglade-Expect-Instance"
	headerSeal        = "X-Kumquatglade-Server-Seal"
	headerInstance    = "X-Kumquatglade-Instance-Id"
	headerLoad        = "X-Kumquatglade-Instance-Load"
	headerNotExecuted = "X-Kumquatglade-Not-Executed"

	heartbeat = 1500 * time.Millisecond
)

// instance is a stand-in for an instance of a service.
type instance struct {
	log       *record
	id        string
	service   string
	addr      string
	slots     int
	tellsLoad bool
	born      int64
	work      func(r *http.Request) time.Duration // how long a request takes, nil: 20 ms
	loses     func(r *http.Request) bool          // whether the answer to a request that ran is lost, nil: never
	// late, if not nil, reports whether a copy of the answer is sent late, at the point where
	// the next answer on the connection is expected.
	late func(probe bool, status int) bool

	stopPings func()

	listener net.Listener
	stopped  context.CancelFunc
	ctx      context.Context

	mu      sync.Mutex
	running int
	waiting int
	queue   int // requests that may wait for a slot
	freed   *sync.Cond
	arrived map[string][]time.Time // arrivals of requests by id
	runs    map[string]int
	seq     int
}

// startInstance listens on a free port of the address.
func startInstance(log *record, ip, id, service string) (*instance, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &instance{
		log: log, id: id, service: service, addr: l.Addr().String(), slots: 6, queue: 24, tellsLoad: true, born: time.Now().UnixMilli(),
		listener: l, ctx: ctx, stopped: cancel, arrived: map[string][]time.Time{}, runs: map[string]int{},
	}
	s.freed = sync.NewCond(&s.mu)
	return s, nil
}

// serve accepts connections until the instance exits.
func (s *instance) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(s.ctx, func() { c.Close() })
		go func() {
			defer stop()
			defer c.Close()
			s.serveConn(c)
		}()
	}
}

// exit ends the instance.
func (s *instance) exit() {
	s.stopped()
	s.listener.Close()
}

func (s *instance) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	var copied []byte // copy of an earlier answer, sent where the next one is expected
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		probe := req.Method == http.MethodGet && req.URL.Path == "/health"
		if !probe {
			s.noteArrival(req)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		// An instance sends the copy once it works on the request, so that this one has run.
		sendCopy := func() {
			if len(copied) > 0 {
				s.log.printf("%s sends once more an answer that it gave on this connection before", s.id)
				c.Write(copied) // an error shows at the next write
				copied = nil
			}
		}
		status, answer, lost := s.answer(req, probe, sendCopy)
		sendCopy()
		if lost {
			s.log.printf("%s loses the answer to %s", s.id, req.Header.Get(headerID))
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if s.late != nil && s.late(probe, status) {
			copied = answer
		}
	}
}

func (s *instance) noteArrival(req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := req.Header.Get(headerID)
	s.arrived[id] = append(s.arrived[id], time.Now())
	s.log.printf("%s of %s reached by %s %s %s", s.id, s.service, req.Method, req.URL.Path, id)
}

// takeSlot waits for a slot; it returns false if the queue is full.
func (s *instance) takeSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots && s.waiting >= s.queue {
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		s.freed.Wait()
	}
	s.waiting--
	s.running++
	return true
}

func (s *instance) leaveSlot() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.freed.Signal()
}

func (s *instance) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// answer handles one request and calls begun when the instance begins to work on it; lost
// tells that the answer is not sent.
func (s *instance) answer(req *http.Request, probe bool, begun func()) (status int, answer []byte, lost bool) {
	id := req.Header.Get(headerID)
	h := [][2]string{}
	if id != "" {
		h = append(h, [2]string{headerID, id})
	}
	notExecuted := func(status int) (int, []byte, bool) {
		h = append(h, [2]string{headerNotExecuted, "1"})
		return status, s.encode(status, h, "not run\n"), false
	}
	if probe {
		return s.answerProbe(h, notExecuted)
	}
	if want := req.Header.Get(headerExpect); want != "" && want != s.id {
		return notExecuted(http.StatusMisdirectedRequest)
	}
	if !s.takeSlot() {
		s.log.printf("%s is full and rejects %s", s.id, id)
		return notExecuted(http.StatusServiceUnavailable)
	}
	defer s.leaveSlot()
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.log.printf("%s runs %s", s.id, id)
	begun()
	d := 20 * time.Millisecond
	if s.work != nil {
		d = s.work(req)
	}
	time.Sleep(d)
	if s.loses != nil && s.loses(req) {
		return 0, nil, true
	}
	h = append(h, [2]string{headerSeal, fmt.Sprintf("%s.%s.%d", s.id, id, n)})
	if s.tellsLoad {
		h = append(h, [2]string{headerLoad, s.load()})
	}
	return http.StatusOK, s.encode(http.StatusOK, h, "done by "+s.id+"\n"), false
}

// answerProbe answers a liveness check. Where the service tells its load it answers
// immediately; elsewhere the check waits for a slot, or is rejected, like any request.
func (s *instance) answerProbe(h [][2]string, notExecuted func(int) (int, []byte, bool)) (int, []byte, bool) {
	if !s.tellsLoad {
		if !s.takeSlot() {
			s.log.printf("%s is full and rejects a liveness check", s.id)
			return notExecuted(http.StatusServiceUnavailable)
		}
		defer s.leaveSlot()
		time.Sleep(time.Millisecond)
	}
	h = append(h, [2]string{headerInstance, s.id})
	if s.tellsLoad {
		h = append(h, [2]string{headerLoad, s.load()})
	}
	return http.StatusOK, s.encode(http.StatusOK, h, "ok\n"), false
}

func (s *instance) encode(status int, headers [][2]string, body string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		text += h[0] + ": " + h[1] + "\r\n"
	}
	return []byte(text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// ping sends one ping, in state ready, to the control addresses, one after the other, until one
// acknowledges it; it returns that one, empty if none did.
func (s *instance) ping(controls []string) string {
	s.mu.Lock()
	s.seq++
	body, err := json.Marshal(map[string]any{
		"born": s.born, "address": s.addr, "info": map[string]any{"service": s.service, "version": "v1", "zone": "z-a", "slots": s.slots},
		"status": map[string]any{"state": "ready", "seq": s.seq, "coldRemaining": "0ms"},
	})
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	return s.tell(controls, http.MethodPut, body)
}

// leave sends DELETE /instances/ID, without a body as in "fleetbench wire", until a node
// acknowledges it. It returns that node, empty if none did.
func (s *instance) leave(controls []string) string {
	return s.tell(controls, http.MethodDelete, nil)
}

// tell sends a call about the instance to one control address after the other until one
// acknowledges it, and returns that one.
func (s *instance) tell(controls []string, method string, body []byte) string {
	for _, addr := range controls {
		status, _ := call(method, addr, "/instances/"+s.id, body)
		if method == http.MethodDelete {
			s.log.printf("%s: DELETE /instances/%s at %s: status %d", s.id, s.id, addr, status)
		}
		if status/100 == 2 {
			return addr
		}
	}
	return ""
}

// keepPinging sends a ping every heartbeat until ctx ends.
func (s *instance) keepPinging(ctx context.Context, controls []string) {
	for ctx.Err() == nil {
		s.ping(controls)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// arrivalsAfter returns the ids of the requests that arrived after the moment.
func (s *instance) arrivalsAfter(t time.Time) (ids []string, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, list := range s.arrived {
		for _, at := range list {
			if at.After(t) {
				ids = append(ids, id)
				if at.After(last) {
					last = at
				}
			}
		}
	}
	return ids, last
}

// runCount returns how often the instance ran the request.
func (s *instance) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
