package kqtransport

import (
	"bytes"
	"context"
	"testing"
	"time"
)

// largestWrite records the size of the largest write.
type largestWrite struct {
	bytes.Buffer
	largest int
}

func (w *largestWrite) Write(p []byte) (int, error) {
	w.largest = max(w.largest, len(p))
	return w.Buffer.Write(p)
}

// TestPacer checks that a long body is written in small parts at the rate of the link, so
// that other messages find their way between them.
func TestPacer(t *testing.T) {
	const linkRate = 1e6 // bytes a second
	body := bytes.Repeat([]byte("x"), 100<<10)
	out := &largestWrite{}
	started := time.Now()
	n, err := NewPacer(linkRate).Writer(t.Context(), out).Write(body)
	took := time.Since(started)
	if err != nil || n != len(body) || !bytes.Equal(out.Bytes(), body) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if least := time.Duration(float64(len(body)-pacedChunk) / linkRate * float64(time.Second)); took < least || out.largest > pacedChunk {
		t.Errorf("took %v with writes of up to %d bytes, want at least %v and at most %d", took, out.largest, least, pacedChunk)
	}
}

func TestPacerEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if n, err := NewPacer(1e4).Writer(ctx, &bytes.Buffer{}).Write(make([]byte, 1<<20)); err == nil || n > 2*pacedChunk {
		t.Errorf("%d bytes, %v, want the context's error", n, err)
	}
}

func TestPacerLeavesFastLinks(t *testing.T) {
	for _, rate := range []float64{0, 1e9 / 8} {
		if NewPacer(rate) != nil {
			t.Errorf("a link of %v bytes a second is paced", rate)
		}
	}
}
