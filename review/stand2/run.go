package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// runTime bounds a whole case.
const runTime = 110 * time.Second

// run is one run of a case: its record, its temporary folder and what it started.
type run struct {
	trouble bool   // play the disruption
	root    string // of the repository
	dir     string // temporary folder
	began   time.Time
	limit   *time.Timer

	mu     sync.Mutex
	record *os.File
	closed bool
	ends   []func() // end what was started, in reverse order
}

func newRun() (*run, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, began: time.Now(), record: record}
	r.limit = time.AfterFunc(runTime, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(exitNotRun)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		r.close()
		os.Exit(exitNotRun)
	}()
	r.note("disruption: %v", r.trouble)
	return r, nil
}

// note writes one line to the record and to standard output.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(io.MultiWriter(r.record, os.Stdout), line) // the exit code tells the result, too
}

// atEnd makes f run when the case ends.
func (r *run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

// close ends everything that was started.
func (r *run) close() {
	r.limit.Stop()
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.record.Close()
	os.RemoveAll(r.dir)
}
