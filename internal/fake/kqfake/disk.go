package kqfake

import (
	"io/fs"
	"math/rand/v2"
	"slices"

	kq "kumquatglade"

	"github.com/cockroachdb/errors"
)

// Errors that a Disk gives when told to.
var (
	ErrCrashed = errors.New("disk: the host crashed")
	ErrSync    = errors.New("disk: sync failed")
	ErrFull    = errors.New("disk: no space left")
)

// inode is the content of one file: lasting up to synced, lost behind it.
type inode struct {
	data   []byte
	synced []byte
}

// nameOp is a change of names that is not synced yet.
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
	opsUntilCrash int // operations until a crash, negative: none
	crashed       bool
	failSync      bool
	full          bool
	syncs         int
}

// NewDisk returns an empty disk.
func NewDisk(rng *rand.Rand) *Disk {
	return &Disk{rng: rng, names: map[string]*inode{}, durable: map[string]*inode{}, opsUntilCrash: -1}
}

// CrashIn makes the operation after n more fail, and all behind it.
func (d *Disk) CrashAfter(n int) {
	d.opsUntilCrash = n
}

// FailSync makes every sync fail from now on.
func (d *Disk) FailSync() {
	d.failSync = true
}

// Fill makes every write fail from now on.
func (d *Disk) Fill() {
	d.full = true
}

// Syncs returns how many syncs of files were made.
func (d *Disk) Syncs() int {
	return d.syncs
}

// Crash loses what was not synced: of a file any part behind the synced bytes,
// of the names all changes after some point.
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

// tear keeps a random part of the bytes behind the synced ones.
func (d *Disk) dropUnsyncedTail(n *inode) {
	if len(n.data) <= len(n.synced) {
		n.data = slices.Clone(n.synced)
		return
	}
	extra := d.rng.IntN(len(n.data) - len(n.synced) + 1)
	n.data = slices.Clone(n.data[:len(n.synced)+extra])
	n.synced = slices.Clone(n.data)
}

// Damage flips one bit of a synced byte of the named file.
func (d *Disk) FlipBit(name string, at int) {
	n := d.names[name]
	n.data[at] ^= 1
	n.synced = slices.Clone(n.data)
}

// Clone returns an independent copy of the lasting content, as an old copy of
// the folder would be.
func (d *Disk) Clone() *Disk {
	c := NewDisk(d.rng)
	for name, n := range d.durable {
		i := &inode{data: slices.Clone(n.synced), synced: slices.Clone(n.synced)}
		c.names[name], c.durable[name] = i, i
	}
	return c
}

// Size returns the bytes of all files.
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

// spend counts one operation and fails it if the host has crashed.
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
	if f.d.full {
		return 0, ErrFull
	}
	if err := f.d.countOperation(); err != nil {
		half := f.d.rng.IntN(len(p) + 1)
		f.n.data = append(f.n.data, p[:half]...)
		return half, err
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
