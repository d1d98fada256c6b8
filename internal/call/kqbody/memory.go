package kqbody

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	memoryDivisor = 6        // part of the process's memory for request bodies: the runtime's soft limit is at a half, and the rest needs room too
	defaultMemory = 32 << 20 // bytes, if the memory of the process is unknown
	minMemory     = 4 << 20  // bytes

	// freeBytes of each body are not counted: as much as the connection itself takes.
	freeBytes = 16 << 10

	// maxPause is how long the next freeBytes of a body may take while others wait for room: a
	// slow mobile link carries them in half of that.
	maxPause = time.Second

	// maxRoomWait is how long a body waits for room, and roomWaitDivisor which part of the
	// time left it may take, so that a refused caller can still try another host.
	maxRoomWait     = time.Second
	roomWaitDivisor = 8

	roomCheckInterval = 50 * time.Millisecond // between two looks for a body that pauses
)

// ErrNoRoom means that the bodies in progress take all memory for them.
var ErrNoRoom = errors.New("no room for the body")

// Memory bounds the bytes of the bodies that are held at a time. It is safe for concurrent
// use.
type Memory struct {
	limit int64

	mu      sync.Mutex
	held    int64
	reading map[*Buffer]struct{} // bodies that are arriving
	freed   chan struct{}        // closed and replaced when a body is released
}

// NewMemory returns a Memory for the given bytes, besides the first 16 KiB of each body. One
// body alone may exceed them.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, reading: map[*Buffer]struct{}{}, freed: make(chan struct{})}
}

// Share returns the bytes for the request bodies of a process that may use the given number
// of bytes, 0 if unknown.
func Share(process int64) int64 {
	if process <= 0 {
		return defaultMemory
	}
	return max(process/memoryDivisor, minMemory)
}

// Held returns the counted bytes.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Buffer holds one body, or the beginning of a long one.
type Buffer struct {
	memory *Memory
	cut    func() // ends a read of the body that is in progress
	p      []byte
	size   int64 // bytes of the body, -1 if unknown
	most   int64 // bytes that are read

	// The lock of memory is held for these.
	held      int64     // counted bytes
	milestone int       // length at which markedAt is set next
	markedAt  time.Time // when the last freeBytes had arrived
	waiting   bool      // for room
	wasCut    bool
}

// NewBuffer returns a buffer for at most the given bytes of a body, which must be released.
// The size of the body is -1 if it is unknown. A call of cut must end a read of the body that
// is in progress.
func (m *Memory) NewBuffer(size, most int64, cut func()) *Buffer {
	return &Buffer{memory: m, cut: cut, size: size, most: most}
}

// Bytes returns what was read. It is valid until Release.
func (b *Buffer) Bytes() []byte { return b.p }

// Fill reads src up to its end, or as much of it as the buffer may hold, and reports whether
// the body is complete. It returns ErrNoRoom if there is no room for it in time or done is
// closed first.
func (b *Buffer) Fill(src io.Reader, deadline time.Time, done <-chan struct{}) (complete bool, err error) {
	m := b.memory
	m.mu.Lock()
	b.markedAt = time.Now()
	m.reading[b] = struct{}{}
	m.mu.Unlock()
	complete, err = b.read(src, deadline, done)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reading, b)
	if err == nil && b.wasCut { // too late for its read, but the deadline would end the next one
		return false, ErrNoRoom
	}
	return complete, err
}

func (b *Buffer) read(src io.Reader, deadline time.Time, done <-chan struct{}) (complete bool, err error) {
	for int64(len(b.p)) < b.most {
		if len(b.p) == cap(b.p) && !b.grow(deadline, done) {
			return false, ErrNoRoom
		}
		n, err := src.Read(b.p[len(b.p):cap(b.p)])
		b.p = b.p[:len(b.p)+n]
		b.mark()
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// mark notes when a further freeBytes have arrived.
func (b *Buffer) mark() {
	if len(b.p) < b.milestone {
		return
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.markedAt, b.milestone = time.Now(), len(b.p)+freeBytes
}

// grow makes room for more of the body: in large steps, since each one copies it, but not for
// far more than has arrived. It reports whether there was room.
func (b *Buffer) grow(deadline time.Time, done <-chan struct{}) bool {
	const small, step = 512, 8
	current := int64(cap(b.p))
	capacity := 2 * current
	switch {
	case current == 0 && b.size < 0:
		capacity = small
	case current < freeBytes:
		capacity = freeBytes
	case current == freeBytes || b.size >= 0:
		capacity = step * current
	}
	if b.size >= current {
		capacity = min(capacity, b.size+1) // the end needs one byte more
	}
	capacity = min(capacity, b.most)
	if need := capacity - freeBytes - b.held; need > 0 && !b.memory.take(b, need, deadline, done) {
		return false
	}
	p := make([]byte, len(b.p), capacity)
	copy(p, b.p)
	b.p = p
	return true
}

// Release gives the memory back.
func (b *Buffer) Release() {
	b.p = nil
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.held == 0 {
		return
	}
	m.held -= b.held
	b.held = 0
	close(m.freed)
	m.freed = make(chan struct{})
}

// take counts n further bytes for the body. It waits a part of the time until the deadline
// for room, and reports whether there was some.
func (m *Memory) take(b *Buffer, n int64, deadline time.Time, done <-chan struct{}) bool {
	freed, ok := m.tryTake(b, n)
	if ok {
		return true
	}
	timeout := time.NewTimer(min(maxRoomWait, time.Until(deadline)/roomWaitDivisor))
	defer timeout.Stop()
	tick := time.NewTicker(roomCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-freed:
		case <-tick.C:
		case <-done:
			return false
		case <-timeout.C:
			return false
		}
		if freed, ok = m.tryTake(b, n); ok {
			return true
		}
	}
}

// tryTake counts n further bytes for the body if there is room for them, or if it is alone:
// a body may be larger than the limit. If not, it ends the body that has paused the longest,
// and returns a channel that is closed when one is released.
func (m *Memory) tryTake(b *Buffer, n int64) (freed <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.held+n > m.limit && m.held > b.held {
		b.waiting = true
		m.cutPaused(now)
		return m.freed, false
	}
	m.held += n
	b.held += n
	b.waiting, b.markedAt = false, now
	return nil, true
}

// cutPaused ends the body that has paused the longest, if that is over maxPause. The lock
// is held.
func (m *Memory) cutPaused(now time.Time) {
	var oldest *Buffer
	for b := range m.reading {
		if b.held > 0 && !b.waiting && now.Sub(b.markedAt) > maxPause && (oldest == nil || b.markedAt.Before(oldest.markedAt)) {
			oldest = b
		}
	}
	if oldest == nil {
		return
	}
	delete(m.reading, oldest)
	oldest.wasCut = true
	oldest.cut()
}
