package kqregistry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/call/kqheader"
	"kumquatglade/internal/host/kqclock"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/route/kqdirectory"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqfeed"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// stubLink records what is sent. Every host is linked and e9 does not reply to
// calls.
type stubLink struct {
	mu   sync.Mutex
	sent []string
}

func (l *stubLink) record(peer, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, kind+" to "+peer)
}

func (l *stubLink) Send(peer, kind string, _ any) { l.record(peer, kind) }

func (l *stubLink) Encode(kind string, _ any) ([]byte, error) { return []byte(kind), nil }

func (l *stubLink) SendEncoded(peers []string, message []byte) {
	for _, p := range peers {
		l.record(p, string(message))
	}
}

func (l *stubLink) Call(_ context.Context, peer, kind string, _, _ any) error {
	l.record(peer, kind)
	if peer == "e9" {
		return errors.New("peer did not reply")
	}
	return nil
}

func (l *stubLink) Up(string) bool { return true }

func (l *stubLink) Receiving(string) bool { return false }

func (l *stubLink) Host() string { return "e1" }

func newTestRegistry(tb testing.TB, view *kqfeed.View) (*TargetRegistry, *stubLink, http.Handler) {
	tb.Helper()
	link := &stubLink{}
	get := func() *kqfeed.View { return view }
	r := NewTargetRegistry(Config{
		Host: "e1", Link: link, Clock: kqclock.System{}, Events: kqevent.NewRecorder("e1", time.Now),
		Metrics: metrics.NewRegistry(), View: get, NewestView: get,
		OnUpdate: func(kqdirectory.Record) {}, OnLoad: func(kqdirectory.Record) {},
	})
	tb.Cleanup(r.Close)
	e := echo.New()
	r.Register(e)
	return r, link, e
}

func testView() *kqfeed.View {
	return &kqfeed.View{
		Revision:  3,
		Contracts: map[string]*kqcontract.Contract{"o": {Owner: "o", Version: 1, Services: []kqcontract.Service{{Name: "s", Rate: 10}}}},
		Hosts: kqcontract.Hosts{Entry: []kqcontract.EntryHost{
			{Name: "e1", Domain: "a", Calls: "127.0.0.1:1"}, {Name: "e2", Domain: "b", Calls: "127.0.0.1:2"}, {Name: "e9", Domain: "c", Calls: "127.0.0.1:9"},
		}},
	}
}

const validAnnouncement = `{"service":"s","id":"t","addr":"127.0.0.1:5","domain":"a","slots":4,"connections":220,"state":"ready","load":2,"epoch":1,"seq":1}`

func post(h http.Handler, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/targets", strings.NewReader(body)))
	return w
}

func TestAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		status int
	}{
		{"valid", validAnnouncement, 200},
		{"the same again", validAnnouncement, 409},
		{"empty", "", 400},
		{"not JSON", "service=s", 400},
		{"unknown key", strings.Replace(validAnnouncement, "slots", "slotz", 1), 400},
		{"bad service", strings.Replace(validAnnouncement, `"s"`, `"S S"`, 1), 400},
		{"host name instead of IP", strings.Replace(validAnnouncement, "127.0.0.1:5", "localhost:5", 1), 400},
		{"no slots", strings.Replace(validAnnouncement, `"slots":4`, `"slots":0`, 1), 400},
		{"negative load", strings.Replace(validAnnouncement, `"load":2`, `"load":-2`, 1), 400},
		{"bad state", strings.Replace(validAnnouncement, "ready", "lazy", 1), 400},
		{"too long", strings.Replace(validAnnouncement, `"s"`, `"`+strings.Repeat("s", maxAnnouncementBytes)+`"`, 1), 400},
	}
	r, link, h := newTestRegistry(t, testView())
	refused := 0
	for _, c := range cases {
		w := post(h, c.body)
		if w.Code != c.status {
			t.Errorf("%s: %d %s", c.name, w.Code, w.Body)
		}
		if c.status != 200 {
			refused++
			if w.Header().Get(kqheader.Run) != kqheader.RunNo {
				t.Errorf("%s: the response does not say that the call did not run", c.name)
			}
		}
	}
	if n := r.refused.Count(); n != int64(refused) {
		t.Errorf("counted %d refused announcements, want %d", n, refused)
	}
	if len(r.All()) != 1 {
		t.Errorf("%d targets are known, want 1", len(r.All()))
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	if len(link.sent) != 2 { // the change is sent to both other hosts before the response
		t.Errorf("sent %v", link.sent)
	}
}

// TestLinkedBeforeListed guards against a target that an entry host learns of only with the next
// digest, 30 s later, since it was linked before it was listed: its drain would reach the host as late.
func TestLinkedBeforeListed(t *testing.T) {
	after := testView()
	before := *after
	before.Hosts.Entry = after.Hosts.Entry[:1]
	r, link, h := newTestRegistry(t, &before)
	for _, peer := range []string{"e2", "e9"} {
		r.Linked(peer, true)
	}
	if w := post(h, strings.Replace(validAnnouncement, "ready", "draining", 1)); w.Code != 200 {
		t.Fatal(w.Code, w.Body)
	}
	r.Listed(&before, after)
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		link.mu.Lock()
		sent := slices.Sorted(slices.Values(link.sent))
		link.mu.Unlock()
		if slices.Equal(sent, []string{"targets to e2", "targets to e9"}) {
			break
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("sent %v, want the target to e2 and e9", sent)
		}
	}
	r.Listed(after, after)
}

func TestEntriesAnswer(t *testing.T) {
	cases := []struct {
		name, owner, service string
		view                 *kqfeed.View
		status               int
	}{
		{"valid", "o", "s", testView(), 200},
		{"no owner", "", "s", testView(), 400},
		{"unknown owner", "p", "s", testView(), 404},
		{"unknown service", "o", "z", testView(), 404},
		{"partitioned", "o", "s", nil, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, _, h := newTestRegistry(t, c.view)
			getEntries := func() resolution {
				req := httptest.NewRequest(http.MethodGet, "/v1/entries?service="+c.service, nil)
				req.Header.Set(kqheader.Owner, c.owner)
				w := httptest.NewRecorder()
				h.ServeHTTP(w, req)
				if w.Code != c.status {
					t.Fatalf("%d %s", w.Code, w.Body)
				}
				var out resolution
				json.Unmarshal(w.Body.Bytes(), &out)
				return out
			}
			out := getEntries()
			if c.status != 200 {
				return
			}
			if len(out.Entries) != 2 || out.Entries[0].Domain == out.Entries[1].Domain || out.Hold == "" {
				t.Fatalf("%+v", out)
			}
			r.Receive("e2", MethodLeaving, nil)
			r.Leave()
			if out = getEntries(); len(out.Entries) != 1 || out.Entries[0].Addr != "127.0.0.1:9" {
				t.Fatalf("hosts that are shutting down are listed: %+v", out)
			}
		})
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{"service":"s","seq":18446744073709551615}`)
	_, _, h := newTestRegistry(f, testView())
	f.Fuzz(func(t *testing.T, body string) {
		if w := post(h, body); w.Code != 200 && w.Code != 400 && w.Code != 409 {
			t.Fatalf("%d", w.Code)
		}
	})
}
