package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and to standard output.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (r *record) seconds() float64 { return time.Since(r.began).Seconds() }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}
