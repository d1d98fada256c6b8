package kqproxy

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"kumquatglade/internal/call/kqtransport"
	"kumquatglade/internal/state/kqroutes"
)

// stallingWriter is a ResponseWriter whose caller receives nothing: a write of more than the
// server buffers waits for its deadline.
type stallingWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
	unbound  bool // a write would have waited for good
}

func (w *stallingWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *stallingWriter) FlushError() error { return nil }

func (w *stallingWriter) Write(p []byte) (int, error) {
	if len(p) < 4<<10 { // below the buffer of net/http
		return len(p), nil
	}
	w.unbound = w.unbound || w.deadline.IsZero() || time.Until(w.deadline) > time.Minute
	return 0, errors.New("deadline")
}

// TestCallerThatReceivesNothingIsCutOff guards against a caller that receives nothing of a whole
// response and keeps it in memory for good, beside many others like it.
func TestCallerThatReceivesNothingIsCutOff(t *testing.T) {
	f := newFixture(t, kqroutes.Unsafe, time.Second, replyOK)
	for _, size := range []int{100, 4 << 10, maxBufferedReply - 1} {
		w := &stallingWriter{ResponseRecorder: httptest.NewRecorder()}
		p := &proxiedRequest{engine: f.engine, w: w, in: httptest.NewRequest(http.MethodGet, "/filings/1", nil)}
		aborted := false
		func() {
			defer func() { aborted = recover() != nil }()
			p.deliver(&kqtransport.Reply{Status: http.StatusOK, Header: http.Header{}}, bytes.Repeat([]byte("x"), size), nil)
		}()
		if w.unbound || aborted != (size >= 4<<10) {
			t.Errorf("%d bytes: waits for good %v, aborted %v", size, w.unbound, aborted)
		}
		if !w.deadline.IsZero() {
			t.Errorf("%d bytes: the bound stays for the next request", size)
		}
	}
}
