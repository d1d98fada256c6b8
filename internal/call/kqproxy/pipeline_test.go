package kqproxy

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/state/kqroutes"
)

// logBuffer keeps what is logged.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestLogsWhatIsCut guards against requests that are cut by the end of the host and leave no
// line by their ID.
func TestLogsWhatIsCut(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, kqroutes.Unsafe, 5*time.Second, func(c net.Conn, r *http.Request) bool {
		<-release
		return replyOK(c, r)
	})
	out := &logBuffer{}
	f.engine.cfg.Log = kqlog.To(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.call("/filings/7", "filing")
	}()
	waitFor(t, "the request runs", func() bool { return f.arrivals() == 1 })
	f.engine.LogCut()
	close(release)
	<-done
	waitFor(t, "the request ends", func() bool { return f.engine.InFlight() == 0 })
	f.engine.LogCut()
	var cut []string
	for line := range strings.SplitSeq(out.text(), "\n") {
		if strings.Contains(line, "cut by the end") {
			cut = append(cut, line)
		}
	}
	if len(cut) != 1 || !strings.Contains(cut[0], `"id":"`) || f.engine.metrics.cut.Count() != 1 {
		t.Errorf("%d counted, lines %q, want one with the ID", f.engine.metrics.cut.Count(), cut)
	}
}
