package kqlog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a pipe that nobody reads until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	got  strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// TestFullPipeHoldsNobodyUp writes far more than may wait to a pipe that nobody
// reads: no write waits, what does not fit is counted, and the log says so later.
func TestFullPipeHoldsNobodyUp(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	s := newSink(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		for range 4 * sinkBytes / len(line) {
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
	if s.lost() == 0 {
		t.Fatal("nothing is counted as dropped")
	}
	close(out.open)
	for range 1000 {
		if strings.Contains(out.text(), "lines dropped") {
			return
		}
		s.Write([]byte("\n"))
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the log does not say that lines were dropped")
}
