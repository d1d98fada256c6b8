package kqtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"kumquatglade/internal/call/kqresponse"
	"kumquatglade/internal/route/kqdirectory"
)

const announceLimit = time.Second

// announcement is the body that a target posts.
type announcement struct {
	Service     string            `json:"service"`
	ID          string            `json:"id"`
	Addr        string            `json:"addr"`
	Domain      string            `json:"domain"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	State       kqdirectory.State `json:"state"`
	Load        int               `json:"load"`
	Epoch       uint64            `json:"epoch"`
	Seq         uint64            `json:"seq"`
}

// renewal is the answer to an announcement.
type renewal struct {
	Renew   string `json:"renew"`
	Entries []struct {
		Addr string `json:"addr"`
	} `json:"entries"`
}

// announcer keeps the target known: to one entry host as long as that
// answers, to the next one at once when it does not.
type announcer struct {
	t       *Target
	entries []string
	client  *http.Client
	poke    chan struct{}
	seq     uint64
}

func newAnnouncer(t *Target, entries []string) *announcer {
	return &announcer{
		t: t, entries: append([]string(nil), entries...), poke: make(chan struct{}, 1),
		client: &http.Client{Timeout: announceLimit, Transport: kqresponse.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 1}}},
	}
}

// now announces without waiting for the next renewal.
func (a *announcer) now() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	for {
		pause := a.once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-a.poke:
		}
	}
}

// once tries the entry hosts in turn until one answers.
func (a *announcer) once(ctx context.Context) time.Duration {
	for range len(a.entries) {
		pause, err := a.post(ctx, a.entries[0])
		if err == nil {
			return pause
		}
		if ctx.Err() != nil {
			return 0
		}
		a.entries = append(a.entries[1:], a.entries[0])
	}
	return kqdirectory.RenewInterval / 4
}

func (a *announcer) post(ctx context.Context, entry string) (time.Duration, error) {
	a.seq++
	t := a.t
	body, err := json.Marshal(announcement{
		Service: t.cfg.Service, ID: t.cfg.ID, Addr: t.addr, Domain: t.cfg.Domain, Slots: t.cfg.Slots,
		Connections: t.cfg.Connections, State: t.state.Load().(kqdirectory.State),
		Load: int(t.busy.Load()), Epoch: t.cfg.Epoch, Seq: a.seq,
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := a.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var r renewal
	if err := json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&r); err != nil {
		return 0, err
	}
	a.learn(r)
	d, err := time.ParseDuration(r.Renew)
	if err != nil {
		return kqdirectory.RenewInterval, nil
	}
	return d, nil
}

// learn adds entry hosts that the answer names behind the known ones.
func (a *announcer) learn(r renewal) {
	known := map[string]bool{}
	for _, e := range a.entries {
		known[e] = true
	}
	for _, e := range r.Entries {
		if !known[e.Addr] {
			a.entries = append(a.entries, e.Addr)
		}
	}
}
