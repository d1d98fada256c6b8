package kqlog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedPipe is an output whose writes block until unblock is closed.
type blockedPipe struct {
	unblock chan struct{}
	mu      sync.Mutex
	written strings.Builder
}

func (s *blockedPipe) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *blockedPipe) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// TestBlockedOutputDoesNotBlockLogging logs far more than the buffer holds to a
// blocked output. Logging must not block, lines that do not fit must be counted as
// dropped, and the log must report them once the output works again.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedPipe{unblock: make(chan struct{})}
	s := newSink(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		for range 4 * maxPendingBytes / len(line) {
			if n, err := s.Write(line); n != len(line) || err != nil {
				t.Errorf("write: %d, %v", n, err)
			}
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waits for the reader")
	}
	if s.droppedLines() == 0 {
		t.Fatal("nothing is counted as dropped")
	}
	close(out.unblock)
	for range 1000 {
		if strings.Contains(out.text(), "lines dropped") {
			return
		}
		s.Write([]byte("\n"))
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the log does not say that lines were dropped")
}
