package kqjournal

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	kq "kumquatglade"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	segmentPrefix  = "log-"
	snapshotName   = "snapshot"
	legacyMetaName = "meta" // of folders written before Meta went into the log
	newSuffix      = ".new"
	segmentSize    = 4 << 20 // bytes after which a new segment starts
)

// Entry is one place of the replicated log.
type Entry struct {
	Index uint64 `json:"i"`
	Term  uint64 `json:"t"`
	Kind  string `json:"k"`
	ID    string `json:"c,omitempty"` // the proposal, for its answer
	Data  []byte `json:"d,omitempty"`
}

// Meta is what a replica must remember besides its log.
type Meta struct {
	Cluster     string         `json:"cluster"`     // empty before the cluster is formed
	Incarnation string         `json:"incarnation"` // identity of this data folder
	Boot        uint64         `json:"boot"`        // starts of this folder
	Term        uint64         `json:"term"`
	Vote        string         `json:"vote"`
	Seen        map[string]Run `json:"seen"` // newest run heard of each peer
}

// Run identifies one start of one data folder.
type Run struct {
	Incarnation string `json:"incarnation"`
	Boot        uint64 `json:"boot"`
	Token       string `json:"token"` // random at each start
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64 `json:"index"`
	Term    uint64 `json:"term"`
	Members []byte `json:"members"`
	State   []byte `json:"state"`
	Segment string `json:"segment"` // first segment that belongs to it
}

// Loaded is what the files held at start.
type Loaded struct {
	Meta           Meta
	Snapshot       Snapshot
	Entries        []Entry // ascending, right after Snapshot.Index
	TruncatedBytes int     // bytes of a torn tail that were cut
}

// Journal writes the files; any error from it is final for the process,
// because a failed sync leaves unknown what lasts.
type Journal struct {
	disk           kq.Disk
	file           kq.File
	size           int
	segment        string   // name of the open segment
	closedSegments []string // names of the earlier segments
	metaFrame      []byte   // frame of the newest Meta, nil before the first
}

// Open reads all files, cuts a torn tail and opens the last segment.
func Open(disk kq.Disk) (*Journal, Loaded, error) {
	j := &Journal{disk: disk}
	var l Loaded
	if err := j.loadFile(legacyMetaName, &l.Meta); err != nil {
		return nil, l, err
	}
	if err := j.loadFile(snapshotName, &l.Snapshot); err != nil {
		return nil, l, err
	}
	if err := j.loadSegments(&l); err != nil {
		return nil, l, err
	}
	return j, l, nil
}

// load decodes a file that is replaced as a whole; a missing one stays empty.
func (j *Journal) loadFile(name string, v any) error {
	p, err := j.disk.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "journal: read %s", name)
	}
	payload, _, err := unframe(p)
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "journal: %s", name)
	}
	return errors.Wrapf(cbor.Unmarshal(payload, v), "journal: decode %s", name)
}

func (j *Journal) loadSegments(l *Loaded) error {
	names, err := j.disk.List()
	if err != nil {
		return errors.Wrap(err, "journal: list")
	}
	var segments, covered []string
	for _, n := range names {
		switch {
		case !strings.HasPrefix(n, segmentPrefix):
		case n < l.Snapshot.Segment:
			covered = append(covered, n)
		default:
			segments = append(segments, n)
		}
	}
	for i, n := range segments {
		if err := j.loadSegment(n, i == len(segments)-1, l); err != nil {
			return err
		}
	}
	if len(l.Entries) > 0 && l.Entries[0].Index != l.Snapshot.Index+1 {
		return errors.Wrapf(ErrCorrupt, "journal: log starts at %d after snapshot %d", l.Entries[0].Index, l.Snapshot.Index)
	}
	if len(segments) == 0 {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	return j.removeFiles(covered)
}

func (j *Journal) loadSegment(name string, newest bool, l *Loaded) error {
	p, err := j.disk.ReadFile(name)
	if err != nil {
		return errors.Wrapf(err, "journal: read %s", name)
	}
	at := 0
	for at < len(p) {
		payload, size, err := unframe(p[at:])
		if err != nil {
			if !newest || containsFrame(p[at+1:]) {
				return errors.Wrapf(ErrCorrupt, "journal: %s at byte %d", name, at)
			}
			l.TruncatedBytes = len(p) - at
			break
		}
		if err := j.decodeRecord(payload, l); err != nil {
			return errors.Wrapf(err, "journal: %s at byte %d", name, at)
		}
		at += size
	}
	if !newest {
		j.closedSegments = append(j.closedSegments, name)
		return nil
	}
	return j.openNewest(name, at, l.TruncatedBytes)
}

// metaKind is the first byte's upper bits of an encoded Meta, a map; a batch is an
// array.
const metaMajorType = 5

// read takes one record of the log.
func (j *Journal) decodeRecord(payload []byte, l *Loaded) error {
	if payload[0]>>5 == metaMajorType {
		l.Meta, j.metaFrame = Meta{}, frame(payload)
		return errors.Wrap(cbor.Unmarshal(payload, &l.Meta), "decode meta")
	}
	var batch []Entry
	if err := cbor.Unmarshal(payload, &batch); err != nil {
		return errors.Wrap(err, "decode")
	}
	return j.mergeBatch(batch, l)
}

// take puts a batch behind the entries read so far; it overwrites from its
// first index on, as the leader's log does.
func (j *Journal) mergeBatch(batch []Entry, l *Loaded) error {
	for _, e := range batch {
		if e.Index <= l.Snapshot.Index {
			continue
		}
		first := l.Snapshot.Index + 1
		n := e.Index - first
		if n > uint64(len(l.Entries)) {
			return errors.Wrapf(ErrCorrupt, "entry %d is missing", first+uint64(len(l.Entries)))
		}
		l.Entries = append(l.Entries[:n], e)
	}
	return nil
}

func (j *Journal) openNewest(name string, size, cut int) error {
	f, err := j.disk.OpenAppend(name)
	if err != nil {
		return errors.Wrapf(err, "journal: open %s", name)
	}
	j.file, j.size, j.segment = f, size, name
	if cut == 0 {
		return nil
	}
	if err := f.Truncate(int64(size)); err != nil {
		return errors.Wrapf(err, "journal: cut %s", name)
	}
	return errors.Wrapf(f.Sync(), "journal: sync %s", name)
}

// Append writes one batch and syncs it.
func (j *Journal) Append(batch []Entry) error {
	payload, err := cbor.Marshal(batch)
	if err != nil {
		return errors.Wrap(err, "journal: encode")
	}
	if j.size >= segmentSize {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	return j.write(frame(payload))
}

// write appends to the open segment and syncs it.
func (j *Journal) write(p []byte) error {
	if _, err := j.file.Write(p); err != nil {
		return errors.Wrap(err, "journal: write")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(err, "journal: sync")
	}
	j.size += len(p)
	return nil
}

// roll starts a new segment; its name sorts behind all earlier ones.
func (j *Journal) rotate() error {
	if j.file != nil {
		j.closedSegments = append(j.closedSegments, j.segment)
		if err := j.file.Close(); err != nil {
			return errors.Wrap(err, "journal: close")
		}
	}
	name := fmt.Sprintf("%s%016x", segmentPrefix, j.nextNumber())
	f, err := j.disk.OpenAppend(name)
	if err != nil {
		return errors.Wrapf(err, "journal: open %s", name)
	}
	j.file, j.size, j.segment = f, 0, name
	return errors.Wrap(j.disk.SyncFolder(), "journal: sync folder")
}

// next returns the number of the next segment.
func (j *Journal) nextNumber() uint64 {
	var n uint64
	if j.segment != "" {
		fmt.Sscanf(strings.TrimPrefix(j.segment, segmentPrefix), "%x", &n)
	}
	return n + 1
}

// SaveMeta makes m last: it counts from here on.
func (j *Journal) SaveMeta(m Meta) error {
	payload, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "journal: encode meta")
	}
	j.metaFrame = frame(payload)
	return j.write(j.metaFrame)
}

// SaveSnapshot replaces the snapshot; keep holds the entries behind it that
// stay. The new segment is written first, so that a crash at any step leaves
// either the old snapshot with the old log or the new with the new.
func (j *Journal) SaveSnapshot(s Snapshot, keep []Entry) error {
	old := j.segmentNames()
	if err := j.rotate(); err != nil {
		return err
	}
	if j.metaFrame != nil { // the earlier segments go
		if err := j.write(j.metaFrame); err != nil {
			return err
		}
	}
	if len(keep) > 0 {
		if err := j.Append(keep); err != nil {
			return err
		}
	}
	s.Segment = j.segment
	if err := j.replaceFile(snapshotName, s); err != nil {
		return err
	}
	j.closedSegments = nil
	return j.removeFiles(old)
}

func (j *Journal) removeFiles(names []string) error {
	for _, n := range names {
		if err := j.disk.Remove(n); err != nil {
			return errors.Wrapf(err, "journal: remove %s", n)
		}
	}
	return errors.Wrap(j.disk.SyncFolder(), "journal: sync folder")
}

func (j *Journal) segmentNames() []string {
	return append(slices.Clone(j.closedSegments), j.segment)
}

func (j *Journal) replaceFile(name string, v any) error {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "journal: encode %s", name)
	}
	f, err := j.disk.Create(name + newSuffix)
	if err != nil {
		return errors.Wrapf(err, "journal: create %s", name)
	}
	if _, err := f.Write(frame(payload)); err != nil {
		return errors.Wrapf(err, "journal: write %s", name)
	}
	if err := f.Sync(); err != nil {
		return errors.Wrapf(err, "journal: sync %s", name)
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "journal: close %s", name)
	}
	if err := j.disk.Rename(name+newSuffix, name); err != nil {
		return errors.Wrapf(err, "journal: rename %s", name)
	}
	return errors.Wrap(j.disk.SyncFolder(), "journal: sync folder")
}

// Close closes the open segment.
func (j *Journal) Close() error {
	return j.file.Close()
}
