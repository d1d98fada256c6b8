package kq

import "github.com/cockroachdb/errors"

// ErrFull marks the error of an operation that a full disk refused. The operation may
// have written a part of its bytes, and may succeed once there is room again. Errors of
// syncs are never marked: after one it is unknown which data is durable.
var ErrFull = errors.New("no space left on the disk")

// Disk is the data folder of one host: flat file names, no sub-folders.
//
// Changes survive a crash only once they are synced: the content of a file by
// File.Sync, a created, renamed or removed name by SyncFolder.
type Disk interface {
	// OpenAppend opens the named file for appending and creates it if missing.
	OpenAppend(name string) (File, error)
	// ReadFile returns the whole content; the error wraps fs.ErrNotExist if missing.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file of that name and discards earlier content.
	Create(name string) (File, error)
	// Rename replaces the file newName by oldName atomically.
	Rename(oldName, newName string) error
	// Remove deletes the named file.
	Remove(name string) error
	// List returns the file names in ascending order.
	List() ([]string, error)
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// File is one open file of a Disk.
type File interface {
	// Write appends p.
	Write(p []byte) (int, error)
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	// Close releases the file without syncing it.
	Close() error
}
