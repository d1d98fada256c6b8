package kqlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxPendingBytes = 256 << 10             // that wait to be written; lines beyond are dropped and counted
	writeInterval   = 50 * time.Millisecond // between two writes, so that many lines share one
	flushTimeout    = 200 * time.Millisecond
)

// sink takes lines without ever waiting for the reader of the output.
type sink struct {
	out  io.Writer
	wake chan struct{}

	mu       sync.Mutex
	idle     *sync.Cond // waiting and writing are both empty
	pending  []byte
	spare    []byte
	writing  bool
	dropped  int64 // in all
	reported int64 // of them told in the log
}

func newSink(out io.Writer) *sink {
	s := &sink{out: out, wake: make(chan struct{}, 1)}
	s.idle = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write implements io.Writer; it always takes the whole line or drops it.
func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	if len(s.pending)+len(p) > maxPendingBytes {
		s.dropped++
		s.mu.Unlock()
		return len(p), nil
	}
	s.pending = append(s.pending, p...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (s *sink) run() {
	for range s.wake {
		s.write()
		time.Sleep(writeInterval)
	}
}

// write passes on what waits; an error cannot be logged anywhere.
func (s *sink) write() {
	s.mu.Lock()
	p := s.pending
	s.pending, s.spare = s.spare[:0], nil
	if s.dropped > s.reported {
		p = fmt.Appendf(p, "{\"level\":\"warn\",\"message\":\"log: lines dropped\",\"lines\":%d}\n", s.dropped-s.reported)
		s.reported = s.dropped
	}
	s.writing = true
	s.mu.Unlock()
	if len(p) > 0 {
		_, _ = s.out.Write(p) // see above
	}
	s.mu.Lock()
	s.spare, s.writing = p, false
	if len(s.pending) == 0 {
		s.idle.Broadcast()
	}
	s.mu.Unlock()
}

func (s *sink) droppedLines() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// flush waits until nothing is left to write, at most flushTime.
func (s *sink) flush() {
	done := make(chan struct{})
	go func() {
		s.mu.Lock()
		for len(s.pending) > 0 || s.writing {
			s.idle.Wait()
		}
		s.mu.Unlock()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
