package kqguard

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// keptBound is what all stored responses may take: the stated limit, and as much again for
// the claims and the containers around them.
const keptBound = 2 * maxResponseBytes

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// headed returns a response whose header has the given number of fields of size bytes each.
func headed(fields, size int) *Response {
	h := map[string][]string{}
	for i := range fields {
		h["X-Field-"+strconv.Itoa(i)] = []string{strings.Repeat("x", size)}
	}
	return &Response{Status: 200, Header: h, Body: []byte("ok")}
}

// TestHeadersOfStoredResponsesFillNoMemory guards against a target whose responses have short
// bodies and very long headers, which were not counted: they filled the memory of the guards.
func TestHeadersOfStoredResponsesFillNoMemory(t *testing.T) {
	for name, c := range map[string]struct{ responses, fields, size int }{
		"long fields": {2000, 1, 60 << 10}, "many fields": {400, 4000, 1}, "just below the limit of one": {8000, 1, 15 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			g := New("e0", now)
			g.Reduce(now, HostsChanged{Epoch: 1, Hosts: []string{"e0"}, FirstListed: true})
			before := heapInUse()
			for i := range c.responses {
				key := strconv.Itoa(i)
				g.Reduce(now, Acquire{Claim{Key: key, Call: key, Epoch: 1}})
				g.Reduce(now, StoreResponse{Key: key, Call: key, Response: headed(c.fields, c.size)})
			}
			if kept := heapInUse() - before; kept > keptBound {
				t.Errorf("%d responses take %d KB, want at most %d KB", c.responses, kept>>10, keptBound>>10)
			}
			if s := g.Status(); s.Claims != c.responses || s.Bytes > maxResponseBytes {
				t.Errorf("%+v, want all claims", s)
			}
			g.Reduce(now.Add(2*Retention), Tick{})
			if s := g.Status(); s.Claims != 0 || s.Bytes != 0 {
				t.Errorf("%+v is left of expired claims", s)
			}
		})
	}
}

// TestCopiedResponsesFillNoMemory guards against a restarted guard that copies the claims of all
// other hosts, each with as many responses as one host may store.
func TestCopiedResponsesFillNoMemory(t *testing.T) {
	const hosts, each = 8, 1024 // responses of 16 KiB: half of what one host may store
	now := time.Unix(1_700_000_000, 0)
	g := New("e0", now)
	g.Reduce(now, HostsChanged{Epoch: 1, Hosts: []string{"e0"}, FirstListed: true})
	before := heapInUse()
	for h := range hosts {
		ev := ClaimsReceived{From: "e" + strconv.Itoa(h+1), Epoch: 1, Complete: true}
		for i := range each {
			key := strconv.Itoa(h) + "-" + strconv.Itoa(i)
			ev.Claims = append(ev.Claims, Claim{
				Key: key, Call: key, Epoch: 1, ExpiresAt: now.Add(Retention), Response: &Response{Status: 200, Body: make([]byte, MaxResponseBody)},
			})
		}
		g.Reduce(now, ev)
	}
	if kept := heapInUse() - before; kept > keptBound {
		t.Errorf("responses copied from %d hosts take %d KB, want at most %d KB", hosts, kept>>10, keptBound>>10)
	}
	if s := g.Status(); s.Claims != hosts*each {
		t.Errorf("%d claims, want all %d", s.Claims, hosts*each)
	}
}
