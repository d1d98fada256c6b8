package kqdisk

import (
	"os"

	kq "kumquatglade"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// file is an open file whose errors tell whether the disk is full.
type file struct{ *os.File }

// Write implements kq.File.
func (f file) Write(p []byte) (int, error) {
	n, err := f.File.Write(p)
	return n, markFull(err)
}

// Truncate implements kq.File.
func (f file) Truncate(size int64) error {
	return markFull(f.File.Truncate(size))
}

// markFull marks the error with kq.ErrFull if the disk or the quota had no room.
func markFull(err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return errors.Mark(err, kq.ErrFull)
	}
	return err
}
