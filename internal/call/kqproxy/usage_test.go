package kqproxy

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kumquatglade/internal/state/kqroutes"

	"github.com/google/go-cmp/cmp"
)

// TestOwnerUsage checks what operators see of each owner's requests, and guards against keys
// and their digests in it.
func TestOwnerUsage(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	f.engine.cfg.Host = "h1"
	f.change(func(d *kqroutes.Document) {
		d.Owners = owners("b", "a", "c")
		d.Owners[2].Regions = []string{"nowhere"}
	})
	for _, key := range []string{"a-key", "a-key", "c-key", "wrong-key", ""} {
		r := httptest.NewRequest(http.MethodPost, "http://index.example/filings/1", nil)
		r.Header.Set(DefaultHeaderNames.RequestID, "id-1")
		r.Header.Set("Authorization", "Bearer "+key)
		f.engine.ServeHTTP(httptest.NewRecorder(), r)
	}
	got := f.engine.Owners()
	want := OwnersUsage{
		Host: "h1", Version: 2, Refused: map[string]uint64{"missing": 0, "malformed": 1, "unknown": 1, "withdrawn": 0, "stale": 0},
		Owners: []OwnerUsage{
			{Name: "a", Keys: 1, Answered: 2, Refused: map[string]uint64{}},
			{Name: "b", Keys: 1},
			{Name: "c", Keys: 1, Regions: []string{"nowhere"}, Refused: map[string]uint64{"region": 1}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	p, err := json.Marshal(got)
	if err != nil || strings.Contains(string(p), "-key") || strings.Contains(string(p), string(kqroutes.DigestKey("a-key"))) {
		t.Errorf("%v %s", err, p)
	}
	f.setOwners(owners("b")...)
	if n := len(f.engine.usage); n != 0 {
		t.Errorf("the counts of %d removed owners are kept", n)
	}
}
