package kqbody

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"testing"
	"time"
)

const mebibyte = 1 << 20

// TestOnlyPausedUploadIsCut guards against an upload that makes progress and is ended for
// another one, and against one that has paused and is not.
func TestOnlyPausedUploadIsCut(t *testing.T) {
	m := NewMemory(2 * mebibyte)
	late := time.Now().Add(time.Hour)
	cuts := make(chan string, 3)
	begin := func(name string) (*Buffer, *io.PipeWriter, chan error) {
		r, w := io.Pipe()
		b := m.NewBuffer(mebibyte, mebibyte, func() { cuts <- name; r.CloseWithError(errors.New("cut")) })
		ended := make(chan error, 1)
		go func() {
			_, err := b.Fill(r, late, nil)
			ended <- err
			b.Release()
		}()
		return b, w, ended
	}
	part := bytes.Repeat([]byte("x"), freeBytes)
	_, paused, pausedEnd := begin("paused")
	_, active, activeEnd := begin("active")
	for range 9 { // beyond the uncounted part
		_, _ = paused.Write(part)
		_, _ = active.Write(part)
	}
	go func() {
		for {
			time.Sleep(maxPause / 4)
			if _, err := active.Write(part); err != nil {
				return
			}
		}
	}()
	time.Sleep(maxPause / 2)
	_, other, _ := begin("waiting")
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 9 {
			_, _ = other.Write(part)
		}
	}()
	defer active.Close()
	select {
	case name := <-cuts:
		if name != "paused" {
			t.Errorf("%s upload was cut", name)
		}
	case err := <-activeEnd:
		t.Errorf("active upload ended: %v", err)
	case <-time.After(5 * maxPause):
		t.Fatal("no upload was cut")
	}
	if err := <-pausedEnd; err == nil {
		t.Error("paused upload goes on")
	}
	select {
	case <-sent:
	case <-time.After(5 * time.Second):
		t.Error("the waiting upload does not go on")
	}
	other.Close()
}

// TestBodyBufferKeepsBytes guards against bytes of a body that are lost or doubled when the
// buffer grows, and against a buffer far larger than the body.
func TestBodyBufferKeepsBytes(t *testing.T) {
	late := time.Now().Add(time.Hour)
	for _, size := range []int{1, 511, 512, 513, freeBytes - 1, freeBytes, freeBytes + 1, 8 * freeBytes, 300 << 10, mebibyte - 1, mebibyte, mebibyte + 1} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 31 >> 3)
		}
		for _, known := range []bool{true, false} {
			t.Run(strconv.Itoa(size)+" "+strconv.FormatBool(known), func(t *testing.T) {
				m := NewMemory(Share(0))
				announced := int64(-1)
				if known {
					announced = int64(size)
				}
				b := m.NewBuffer(announced, mebibyte, func() {})
				src := bytes.NewReader(body)
				complete, err := b.Fill(src, late, nil)
				if err != nil || complete != (size < mebibyte) || !bytes.Equal(b.p, body[:min(size, mebibyte)]) {
					t.Fatalf("%d bytes, complete %v, %v", len(b.p), complete, err)
				}
				if left := src.Len(); left != max(size-mebibyte, 0) {
					t.Errorf("%d bytes left unread", left)
				}
				if counted := int64(cap(b.p)) - freeBytes; m.Held() != max(counted, 0) {
					t.Errorf("%d bytes counted of %d", m.Held(), counted)
				}
				if known && cap(b.p) > size+1 {
					t.Errorf("capacity %d", cap(b.p))
				}
				if b.Release(); m.Held() != 0 {
					t.Errorf("%d bytes still counted", m.Held())
				}
			})
		}
	}
}

// TestShare guards against a bound that a small host does not have, and against none at all.
func TestShare(t *testing.T) {
	for process, want := range map[int64]int64{0: 32 << 20, 1: 4 << 20, 192 << 20: 32 << 20, 6 << 30: 1 << 30} {
		if got := Share(process); got != want {
			t.Errorf("%d of %d bytes, want %d", got, process, want)
		}
	}
}

// TestCutAfterLastByteRefuses guards against a body that arrives whole, is cut at that moment
// and is passed on, although the connection can carry no further request.
func TestCutAfterLastByteRefuses(t *testing.T) {
	m := NewMemory(0)
	b := m.NewBuffer(-1, mebibyte, func() {})
	defer b.Release()
	complete, err := b.Fill(cutAtEnd{b}, time.Now().Add(time.Hour), nil)
	if complete || !errors.Is(err, ErrNoRoom) {
		t.Errorf("complete %t, %v, want ErrNoRoom", complete, err)
	}
}

// cutAtEnd is a body whose buffer is cut while its end is read.
type cutAtEnd struct{ b *Buffer }

func (r cutAtEnd) Read([]byte) (int, error) {
	m := r.b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.b.held, r.b.markedAt = 1, time.Now().Add(-2*maxPause)
	m.cutPaused(time.Now())
	return 0, io.EOF
}
