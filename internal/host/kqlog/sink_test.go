package kqlog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a pipe that nobody reads until it is opened.
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

// TestFullPipeHoldsNobodyUp writes far more than may wait to a pipe that nobody
// reads: no write waits, what does not fit is counted, and the log says so later.
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
