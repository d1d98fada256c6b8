package kqevent

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestLongTextsFillNoMemory guards against texts of callers and targets, such as an owner's name
// of 60 KB that is refused, that the ring of events keeps until it is full.
func TestLongTextsFillNoMemory(t *testing.T) {
	const (
		events = 1000
		size   = 60 << 10
		bound  = events * 4 << 10 // of all texts of an event together
	)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	r := NewRecorder("e1", time.Now)
	before := heap()
	for range events {
		head := strings.Repeat("x", size) // a short text that is part of it must not keep it either
		r.Add(Event{Component: "calls", Kind: "denied", Owner: head, Service: head[:20], Text: "owner"})
	}
	if kept := heap() - before; kept > bound {
		t.Errorf("%d events take %d KB, want at most %d KB", events, kept>>10, bound>>10)
	}
	list, _ := r.Since(Timestamp{})
	if e := list[0]; len(list) != events || len(e.Owner) != maxText || len(e.Service) != 20 || e.Text != "owner" || e.Host != "e1" {
		t.Errorf("%d events, the first one %+v", len(list), e)
	}
}
