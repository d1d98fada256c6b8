package kqdisk

import (
	"os"
	"path/filepath"
	"sort"

	kq "kumquatglade"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// Folder is a data folder, locked against a second process.
type Folder struct {
	path string
	lock *os.File
}

// Open creates the folder if missing and locks it; it fails if another process
// holds the lock.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(markFull(err), "data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(markFull(err), "data folder")
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, errors.Newf("data folder %s: in use by another process", path)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (d *Folder) Close() error {
	return d.lock.Close()
}

func (d *Folder) at(name string) string {
	return filepath.Join(d.path, name)
}

// OpenAppend opens the named file for appending and creates it if missing.
func (d *Folder) OpenAppend(name string) (kq.File, error) {
	return d.open(name, os.O_APPEND)
}

// Create opens an empty file of that name.
func (d *Folder) Create(name string) (kq.File, error) {
	return d.open(name, os.O_TRUNC)
}

func (d *Folder) open(name string, flag int) (kq.File, error) {
	f, err := os.OpenFile(d.at(name), os.O_CREATE|os.O_WRONLY|flag, fileMode)
	if err != nil {
		return nil, markFull(err)
	}
	return file{f}, nil
}

// ReadFile returns the whole content of the named file.
func (d *Folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(d.at(name))
}

// Rename replaces the file newName by oldName.
func (d *Folder) Rename(oldName, newName string) error {
	return markFull(os.Rename(d.at(oldName), d.at(newName)))
}

// Remove deletes the named file.
func (d *Folder) Remove(name string) error {
	return os.Remove(d.at(name))
}

// List returns the file names in ascending order, without the lock file.
func (d *Folder) List() ([]string, error) {
	list, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(list))
	for _, e := range list {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncFolder syncs the folder itself.
func (d *Folder) SyncFolder() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
