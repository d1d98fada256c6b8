package kqdisk

import (
	"os"
	"testing"

	kq "kumquatglade"

	"github.com/cockroachdb/errors"
)

// TestFullDiskIsTold guards against a full disk that is taken for a broken one.
func TestFullDiskIsTold(t *testing.T) {
	f, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err) // not on this system
	}
	defer f.Close()
	if _, err := (file{f}).Write([]byte("record")); !errors.Is(err, kq.ErrFull) {
		t.Errorf("write: %v, want an error marked ErrFull", err)
	}
	if err := (file{f}).Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := (file{f}).Write([]byte("record")); err == nil || errors.Is(err, kq.ErrFull) {
		t.Errorf("write to a closed file: %v, want an error not marked ErrFull", err)
	}
}
