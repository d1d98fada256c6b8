package kqlink

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

// TestLargeMessagesAreCompressed: a document with 1,500 routes must reach 128
// hosts over links of 5 Mbit/s within the time in which it must be in force.
func TestLargeMessagesAreCompressed(t *testing.T) {
	const most = 64 << 10 // bytes, 0.1 s at 5 Mbit/s
	var document []string
	for i := range 1500 {
		document = append(document, fmt.Sprintf(`{"name":"r-%06d","prefix":"/path%d/","service":"kekhai","kind":"unsafe","attempts":2,"timeout":"1500ms"}`, i*7919, i))
	}
	for name, v := range map[string][]string{"small": {"a", "b"}, "large": document, "nothing": nil} {
		t.Run(name, func(t *testing.T) {
			c := codec{metrics.NewCounter(), metrics.NewCounter()}
			var wire bytes.Buffer
			if err := c.WriteObject(&wire, v); err != nil {
				t.Fatal(err)
			}
			if wire.Len() > most || c.sent.Count() != int64(wire.Len()) {
				t.Errorf("%d bytes, counted %d, want at most %d", wire.Len(), c.sent.Count(), most)
			}
			var got []string
			if err := c.ReadObject(bufio.NewReader(&wire), &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(v, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestDamagedMessages: an unreadable frame returns an error.
func TestDamagedMessages(t *testing.T) {
	for name, p := range map[string][]byte{
		"too long":       binary.AppendUvarint(nil, (maxMessage+1)<<1),
		"cut short":      append(binary.AppendUvarint(nil, 100<<1), "{}"...),
		"not compressed": append(binary.AppendUvarint(nil, 2<<1|1), "{}"...),
		"no JSON":        append(binary.AppendUvarint(nil, 2<<1), "}{"...),
	} {
		t.Run(name, func(t *testing.T) {
			c := codec{metrics.NewCounter(), metrics.NewCounter()}
			var v any
			if err := c.ReadObject(bufio.NewReader(bytes.NewReader(p)), &v); err == nil {
				t.Fatalf("read %v", v)
			}
		})
	}
}
