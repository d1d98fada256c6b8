package kqlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxPendingBytes = 256 << 10             // buffered before the output; further lines are dropped and counted
	writeInterval   = 50 * time.Millisecond // between two writes, so that one write carries many lines
	flushTimeout    = 200 * time.Millisecond
)

// sink buffers lines, so that logging never blocks on a slow reader of the output.
type sink struct {
	out  io.Writer
	wake chan struct{}

	mu       sync.Mutex
	idle     *sync.Cond // signals that nothing is pending and no write is running
	pending  []byte
	spare    []byte
	writing  bool
	dropped  int64 // since the start
	reported int64 // number of dropped lines that the log has already reported
}

func newSink(out io.Writer) *sink {
	s := &sink{out: out, wake: make(chan struct{}, 1)}
	s.idle = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write implements io.Writer; it accepts the whole line or drops it, and never
// fails.
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

// write writes the pending lines to the output; those that fail count as dropped.
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
	var err error
	if len(p) > 0 {
		_, err = s.out.Write(p)
	}
	s.mu.Lock()
	if err != nil { // there is nowhere to log it
		s.dropped += int64(bytes.Count(p, []byte("\n")))
	}
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

// flush waits until all pending lines are written, at most flushTimeout.
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
