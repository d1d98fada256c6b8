package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
