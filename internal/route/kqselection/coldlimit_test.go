package kqselection

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Reference limits: 2.5 x 1.5 + 8 = 11.75 requests in any one second.
const testColdRate = 2.5

// coldHub publishes the entry hosts that are linked to one control host.
type coldHub struct {
	down   bool
	lostAt map[int]time.Time // when the link to a host broke
	list   []string
}

// coldHost is one entry host that sends whatever it may to all targets.
type coldHost struct {
	addr    string
	down    bool
	frozen  bool
	hub     int
	cut     []bool // by hub: the link is broken
	list    *EntryList
	targets []*Target
	pending []pendingSend
}

type pendingSend struct {
	target int
	at     time.Time
}

// coldWorld is hosts, control hosts and cold targets in virtual time.
type coldWorld struct {
	rng   *rand.Rand
	now   time.Time
	hosts []*coldHost
	hubs  []*coldHub
	sends [][]time.Time // arrivals by target
}

const (
	coldStep      = 10 * time.Millisecond
	noticeBroken  = 700 * time.Millisecond // until a host without a link leaves the list
	noticeStale   = 1100 * time.Millisecond
	coldHosts     = 24
	coldTargetNum = 12
)

func newColdWorld(seed uint64) *coldWorld {
	w := &coldWorld{rng: rand.New(rand.NewPCG(seed, 9)), now: epoch, sends: make([][]time.Time, coldTargetNum)}
	for range 3 {
		w.hubs = append(w.hubs, &coldHub{lostAt: map[int]time.Time{}})
	}
	for i := range coldHosts {
		h := &coldHost{addr: "10.0.0." + strconv.Itoa(i) + ":80", hub: i % len(w.hubs), cut: make([]bool, len(w.hubs))}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

// start makes a process of the host that knows nothing.
func (w *coldWorld) start(h *coldHost) {
	h.down, h.pending, h.targets, h.list = false, nil, nil, NewEntryList(h.addr)
	for i := range coldTargetNum {
		t := &Target{ID: "t" + strconv.Itoa(i), Slots: 2}
		t.LimitCold(h.list, ColdLimits{Overrun: 1.5, Slack: 8}.Pace(testColdRate), w.now)
		t.RecordAnnouncedCold(w.now, epoch, time.Hour)
		h.targets = append(h.targets, t)
	}
}

// fault breaks or mends something.
func (w *coldWorld) fault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch w.rng.IntN(8) {
	case 0:
		h.down = true
	case 1, 2:
		if h.down {
			w.start(h)
		}
	case 3:
		h.frozen = !h.frozen
	case 4: // partition from all control hosts
		for i := range h.cut {
			h.cut[i] = true
		}
	case 5: // or from one of them
		h.cut[w.rng.IntN(len(h.cut))] = true
	case 6:
		clear(h.cut)
	case 7: // a control host restarts and sees its hosts come back one by one
		hub := w.hubs[w.rng.IntN(len(w.hubs))]
		if hub.down = !hub.down; !hub.down {
			hub.list = nil
		}
	}
}

// publish updates the lists of the control hosts.
func (w *coldWorld) publish() {
	for n, hub := range w.hubs {
		if hub.down {
			continue
		}
		var list []string
		for i, h := range w.hosts {
			if !h.down && !h.frozen && !h.cut[n] {
				delete(hub.lostAt, i)
				list = append(list, h.addr)
				continue
			}
			if hub.lostAt[i].IsZero() {
				hub.lostAt[i] = w.now
			}
			if w.now.Sub(hub.lostAt[i]) < noticeBroken {
				list = append(list, h.addr)
			}
		}
		hub.list = list
	}
}

// act lets the host hear from its control host and send what it may.
func (w *coldWorld) act(h *coldHost) {
	if h.down || h.frozen {
		return
	}
	switch hub := w.hubs[h.hub]; {
	case !hub.down && !h.cut[h.hub]:
		h.list.HeardAt = w.now
		if h.list.Set(hub.list, w.now) {
			for _, t := range h.targets {
				t.UpdateSharer()
			}
		}
	case w.now.Sub(h.list.HeardAt) > noticeStale:
		h.hub = w.rng.IntN(len(w.hubs))
	}
	for i, t := range h.targets {
		if w.rng.IntN(5000) == 0 { // cold again, or a probe that says so
			t.RecordProbedCold(w.now, w.now, w.now.Add(time.Hour))
		}
		if t.Barred(w.now) == NotBarred {
			t.reserveCold(w.now)
			h.pending = append(h.pending, pendingSend{i, w.now.Add(time.Duration(w.rng.IntN(50)) * time.Millisecond)})
		}
	}
	var later []pendingSend
	for _, p := range h.pending {
		switch t := h.targets[p.target]; {
		case p.at.After(w.now):
			later = append(later, p)
		case w.rng.IntN(20) == 0:
			t.ReleaseCold() // no connection
		case t.BarredToSend(w.now) == NotBarred:
			w.sends[p.target] = append(w.sends[p.target], w.now.Add(time.Duration(w.rng.IntN(20))*time.Millisecond))
		}
	}
	h.pending = later
}

// run plays for the time, with a fault about once per the given time, or none if that is 0.
func (w *coldWorld) run(d, faultEvery time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(coldStep) {
		if faultEvery > 0 && w.rng.IntN(int(faultEvery/coldStep)) == 0 {
			w.fault()
		}
		w.publish()
		for _, h := range w.hosts {
			w.act(h)
		}
	}
}

// mostInSecond returns the largest number of the times in any one second.
func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	slices.SortFunc(times, time.Time.Compare)
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdLimitHolds guards the limit of a cold target over all hosts together, while hosts
// and control hosts restart, freeze, are partitioned and know different lists.
func TestColdLimitHolds(t *testing.T) {
	const limit = testColdRate*1.5 + 8
	most := 0
	for seed := range uint64(20) {
		w := newColdWorld(seed)
		w.run(60*time.Second, 100*time.Millisecond<<(seed%6))
		for i, sends := range w.sends {
			n := mostInSecond(sends)
			most = max(most, n)
			if float64(n) > limit {
				t.Errorf("seed %d: target %d got %d requests in one second, limit %v", seed, i, n, limit)
			}
		}
	}
	t.Logf("most requests in one second: %d", most)
}

// TestColdRateIsUsed guards against a limit that holds because cold targets get nothing.
func TestColdRateIsUsed(t *testing.T) {
	w := newColdWorld(1)
	w.run(30*time.Second, 0)
	for i, sends := range w.sends {
		if n := len(sends); float64(n) < 0.8*30*testColdRate || mostInSecond(sends) > coldSharers*2 {
			t.Errorf("target %d got %d requests in 30 s, %d in one second", i, n, mostInSecond(sends))
		}
	}
}

// TestPartitionedSharersStop guards against hosts that keep their right under an old list:
// whoever shares a target is cut off from all control hosts, again and again.
func TestPartitionedSharersStop(t *testing.T) {
	w := newColdWorld(3)
	w.run(3*time.Second, 0)
	for range 8 {
		for _, h := range w.hosts {
			if h.targets[0].SharesCold() {
				for i := range h.cut {
					h.cut[i] = true
				}
			}
		}
		w.run(coldTakeover+noticeBroken+time.Second, 0)
	}
	if n := mostInSecond(w.sends[0]); float64(n) > testColdRate*1.5+8 {
		t.Errorf("%d requests in one second", n)
	}
}
