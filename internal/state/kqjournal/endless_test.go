package kqjournal

import (
	"encoding/binary"
	"runtime"
	"testing"
)

// TestHugeLengthTakesNoMemory guards against the length of a record that is believed though its
// bytes are missing: the last one of a torn log may have any.
func TestHugeLengthTakesNoMemory(t *testing.T) {
	const bound = 1 << 20
	for _, length := range []uint32{1 << 16, maxPayload, maxPayload + 1, 1<<32 - 1} {
		d := newDisk(1)
		j, _ := open(t, d)
		must(t, j.Append([]Entry{entry(1)}))
		f, err := d.OpenAppend(j.segment)
		must(t, err)
		header := binary.BigEndian.AppendUint32(nil, length)
		_, err = f.Write(append(header, "checksum and a few bytes"...))
		must(t, err)
		must(t, f.Sync())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, l := open(t, d)
		runtime.ReadMemStats(&after)
		if took := after.TotalAlloc - before.TotalAlloc; took > bound || len(l.Entries) != 1 || l.TruncatedBytes == 0 {
			t.Errorf("length %d took %d bytes and left %d entries, %d bytes cut", length, took, len(l.Entries), l.TruncatedBytes)
		}
	}
}
