package kqfake

import (
	"io/fs"
	"math/rand/v2"
	"slices"

	kq "kumquatglade"

	"github.com/cockroachdb/errors"
)

// Errors that a Disk returns when a test injects the fault.
var (
	ErrCrashed = errors.New("disk: the host crashed")
	ErrSync    = errors.New("disk: sync failed")
)

// errFull returns the error of an operation that the full disk refuses.
func errFull() error {
	return errors.Wrap(kq.ErrFull, "disk")
}

// inode is the content of one file; a crash may lose the bytes after the synced ones.
type inode struct {
	data   []byte
	synced []byte
}

// nameOp creates, replaces or removes a file name.
type nameOp struct {
	name string
	node *inode // nil: removed
}

// Disk is a kq.Disk in memory. It is not safe for concurrent use.
type Disk struct {
	rng           *rand.Rand
	names         map[string]*inode
	durable       map[string]*inode
	pending       []nameOp
	opsUntilCrash int // operations until a crash, negative: no crash
	crashed       bool
	failSync      bool
	full          bool
	maxWrite      int // bytes, 0: no limit
	tearAnywhere  bool
	syncs         int
}

// NewDisk returns an empty disk.
func NewDisk(rng *rand.Rand) *Disk {
	return &Disk{rng: rng, names: map[string]*inode{}, durable: map[string]*inode{}, opsUntilCrash: -1}
}

// CrashAfter lets n more operations succeed and makes all later ones fail.
func (d *Disk) CrashAfter(n int) {
	d.opsUntilCrash = n
}

// FailSync makes every sync fail from now on.
func (d *Disk) FailSync() {
	d.failSync = true
}

// Fill makes every write, and the creation of files, fail until Free. A refused write
// leaves a random part of its bytes.
func (d *Disk) Fill() {
	d.full = true
}

// LimitWrites makes writes of more than n bytes fail until Free, as on a disk with little
// room.
func (d *Disk) LimitWrites(n int) {
	d.maxWrite = n
}

// Free ends the effect of Fill and LimitWrites.
func (d *Disk) Free() {
	d.full, d.maxWrite = false, 0
}

// TearAnywhere makes a crash leave gaps of zero bytes within unsynced data, besides cutting
// off its end.
func (d *Disk) TearAnywhere() {
	d.tearAnywhere = true
}

// Syncs returns the number of successful syncs of files.
func (d *Disk) Syncs() int {
	return d.syncs
}

// Crash discards unsynced changes: a random part of the bytes of each file after
// its synced ones, and all changes of names after a random one.
func (d *Disk) Crash() {
	keep := 0
	if len(d.pending) > 0 {
		keep = d.rng.IntN(len(d.pending) + 1)
	}
	for _, op := range d.pending[:keep] {
		d.apply(d.durable, op)
	}
	d.names = map[string]*inode{}
	for name, n := range d.durable {
		d.names[name] = n
		d.dropUnsyncedTail(n)
	}
	d.pending, d.opsUntilCrash, d.crashed = nil, -1, false
}

// dropUnsyncedTail keeps the synced bytes and a random number of those after them.
func (d *Disk) dropUnsyncedTail(n *inode) {
	if len(n.data) <= len(n.synced) {
		n.data = slices.Clone(n.synced)
		return
	}
	extra := d.rng.IntN(len(n.data) - len(n.synced) + 1)
	n.data = slices.Clone(n.data[:len(n.synced)+extra])
	if d.tearAnywhere && extra > 0 {
		from := len(n.synced) + d.rng.IntN(extra)
		clear(n.data[from : from+d.rng.IntN(len(n.data)-from+1)])
	}
	n.synced = slices.Clone(n.data)
}

// FlipBit flips one bit of the named file, at the byte offset at, also on the synced copy.
func (d *Disk) FlipBit(name string, at int) {
	n := d.names[name]
	n.data[at] ^= 1
	n.synced = slices.Clone(n.data)
}

// Clone returns an independent copy of the durable content, such as a backup of
// the folder.
func (d *Disk) Clone() *Disk {
	c := NewDisk(d.rng)
	for name, n := range d.durable {
		i := &inode{data: slices.Clone(n.synced), synced: slices.Clone(n.synced)}
		c.names[name], c.durable[name] = i, i
	}
	return c
}

// Size returns the total size of all files in bytes.
func (d *Disk) Size() int {
	sum := 0
	for _, n := range d.names {
		sum += len(n.data)
	}
	return sum
}

func (d *Disk) apply(names map[string]*inode, op nameOp) {
	if op.node == nil {
		delete(names, op.name)
		return
	}
	names[op.name] = op.node
}

func (d *Disk) changeName(op nameOp) {
	d.apply(d.names, op)
	d.pending = append(d.pending, op)
}

// countOperation counts one operation; it returns ErrCrashed if the host has crashed.
func (d *Disk) countOperation() error {
	if d.opsUntilCrash == 0 {
		d.crashed = true
	}
	if d.crashed {
		return ErrCrashed
	}
	if d.opsUntilCrash > 0 {
		d.opsUntilCrash--
	}
	return nil
}

// OpenAppend implements kq.Disk.
func (d *Disk) OpenAppend(name string) (kq.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		if d.full {
			return nil, errFull()
		}
		n = &inode{}
		d.changeName(nameOp{name, n})
	}
	return &file{d, n}, nil
}

// Create implements kq.Disk.
func (d *Disk) Create(name string) (kq.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	if d.full {
		return nil, errFull()
	}
	n := &inode{}
	d.changeName(nameOp{name, n})
	return &file{d, n}, nil
}

// ReadFile implements kq.Disk.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	n := d.names[name]
	if n == nil {
		return nil, errors.Wrapf(fs.ErrNotExist, "disk: %s", name)
	}
	return slices.Clone(n.data), nil
}

// Rename implements kq.Disk.
func (d *Disk) Rename(oldName, newName string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	n := d.names[oldName]
	if n == nil {
		return errors.Wrapf(fs.ErrNotExist, "disk: %s", oldName)
	}
	d.changeName(nameOp{newName, n})
	d.changeName(nameOp{oldName, nil})
	return nil
}

// Remove implements kq.Disk.
func (d *Disk) Remove(name string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.changeName(nameOp{name, nil})
	return nil
}

// List implements kq.Disk.
func (d *Disk) List() ([]string, error) {
	list := make([]string, 0, len(d.names))
	for name := range d.names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list, nil
}

// SyncFolder implements kq.Disk.
func (d *Disk) SyncFolder() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.failSync {
		return ErrSync
	}
	for _, op := range d.pending {
		d.apply(d.durable, op)
	}
	d.pending = nil
	return nil
}

// file is one open file of a Disk.
type file struct {
	d *Disk
	n *inode
}

func (f *file) Write(p []byte) (int, error) {
	err := f.d.countOperation()
	if err == nil && (f.d.full || f.d.maxWrite > 0 && len(p) > f.d.maxWrite) {
		err = errFull()
	}
	if err != nil {
		written := f.d.rng.IntN(len(p) + 1)
		f.n.data = append(f.n.data, p[:written]...)
		return written, err
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

func (f *file) Truncate(size int64) error {
	if err := f.d.countOperation(); err != nil {
		return err
	}
	f.n.data = f.n.data[:size]
	return nil
}

func (f *file) Sync() error {
	if err := f.d.countOperation(); err != nil {
		return err
	}
	if f.d.failSync {
		return ErrSync
	}
	f.d.syncs++
	f.n.synced = slices.Clone(f.n.data)
	return nil
}

func (f *file) Close() error {
	return nil
}
