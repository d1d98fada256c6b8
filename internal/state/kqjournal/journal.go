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
	legacyMetaName = "meta" // written by older versions, which kept Meta outside the log
	newSuffix      = ".new"
	segmentSize    = 4 << 20 // bytes after which a new segment starts
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64 `json:"i"`
	Term  uint64 `json:"t"`
	Kind  string `json:"k"`
	ID    string `json:"c,omitempty"` // proposal to answer once the entry is applied
	Data  []byte `json:"d,omitempty"`
}

// Meta is the durable state of a replica besides its log and snapshot.
type Meta struct {
	Cluster     string         `json:"cluster"`     // empty before the cluster is formed
	Incarnation string         `json:"incarnation"` // identity of this data folder
	Boot        uint64         `json:"boot"`        // number of starts on this data folder
	Term        uint64         `json:"term"`
	Vote        string         `json:"vote"`
	Seen        map[string]Run `json:"seen"` // newest run seen of each peer

	// Founders are the hosts with which this folder may form a cluster, sorted; empty if it may not.
	Founders []string `json:"founders,omitempty"`
}

// Run identifies one start of a process on one data folder.
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
	Segment string `json:"segment"` // first segment that continues this snapshot
}

// Loaded is the content of the files at start.
type Loaded struct {
	Meta           Meta
	Snapshot       Snapshot
	Entries        []Entry // ascending, right after Snapshot.Index
	TruncatedBytes int     // bytes of an incomplete last record that were removed
}

// Journal writes the files. An operation that failed with kq.ErrFull has saved nothing
// and may be repeated once there is room; no other may be carried out before. After any
// other error the process must stop, because a failed sync leaves unknown which data is
// durable.
type Journal struct {
	disk           kq.Disk
	file           kq.File  // nil: there is no segment yet
	size           int      // bytes of the complete records in the open segment
	torn           bool     // a part of a record may follow them
	snapshotBegun  bool     // the open segment was started for a snapshot that is not saved yet
	segment        string   // name of the open segment
	closedSegments []string // names of the earlier segments
	metaFrame      []byte   // frame of the newest Meta in the log, nil if there is none
}

// Open reads all files and opens the last segment for appending. It needs no room on the
// disk: an incomplete last record is removed, and a missing segment created, by the first
// operation that writes. It returns ErrCorrupt if synced data is damaged.
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

// loadFile decodes a file that holds a single frame into v; a missing file leaves v
// unchanged.
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
	return j.removeFiles(covered)
}

func (j *Journal) loadSegment(name string, newest bool, l *Loaded) error {
	p, err := j.disk.ReadFile(name)
	if err != nil {
		return errors.Wrapf(err, "journal: read %s", name)
	}
	offset := 0
	for offset < len(p) {
		payload, size, err := unframe(p[offset:])
		if err != nil {
			if !newest || containsFrame(p[offset+1:]) {
				return errors.Wrapf(ErrCorrupt, "journal: %s at byte %d", name, offset)
			}
			l.TruncatedBytes = len(p) - offset
			break
		}
		if err := j.decodeRecord(payload, l); err != nil {
			return errors.Wrapf(err, "journal: %s at byte %d", name, offset)
		}
		offset += size
	}
	if !newest {
		j.closedSegments = append(j.closedSegments, name)
		return nil
	}
	f, err := j.disk.OpenAppend(name)
	if err != nil {
		return errors.Wrapf(err, "journal: open %s", name)
	}
	j.file, j.size, j.segment, j.torn = f, offset, name, l.TruncatedBytes > 0
	return nil
}

// metaMajorType is the CBOR major type of an encoded Meta, a map, in the upper three
// bits of the first byte. A batch of entries is an array.
const metaMajorType = 5

// decodeRecord decodes one record of the log, a Meta or a batch of entries, into l.
func (j *Journal) decodeRecord(payload []byte, l *Loaded) error {
	if payload[0]>>5 == metaMajorType {
		l.Meta, j.metaFrame = Meta{}, frame(payload)
		return errors.Wrap(cbor.Unmarshal(payload, &l.Meta), "decode meta")
	}
	var batch []Entry
	if err := cbor.Unmarshal(payload, &batch); err != nil {
		return errors.Wrap(err, "decode entries")
	}
	return j.mergeBatch(batch, l)
}

// mergeBatch appends a batch to the entries read so far. Entries from its first
// index on are replaced, because a follower overwrites its log with the leader's.
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

// Append writes one batch of entries and syncs it.
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
	if j.file == nil {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	if err := j.removeTorn(); err != nil {
		return err
	}
	if _, err := j.file.Write(p); err != nil {
		j.torn = true
		return errors.Wrap(err, "journal: write")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(err, "journal: sync")
	}
	j.size += len(p)
	return nil
}

// removeTorn removes a part of a record from the end of the open segment. Records behind
// it would be lost, and in a segment that is no longer the newest it counts as damage, so
// the removal is synced.
func (j *Journal) removeTorn() error {
	if !j.torn {
		return nil
	}
	if err := j.file.Truncate(int64(j.size)); err != nil {
		return errors.Wrapf(err, "journal: truncate %s", j.segment)
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrapf(err, "journal: sync %s", j.segment)
	}
	j.torn = false
	return nil
}

// rotate starts a new segment, whose name sorts after all earlier ones, and closes the
// open one.
func (j *Journal) rotate() error {
	if err := j.removeTorn(); err != nil {
		return err
	}
	name := fmt.Sprintf("%s%016x", segmentPrefix, j.nextNumber())
	f, err := j.disk.OpenAppend(name)
	if err != nil {
		return errors.Wrapf(err, "journal: open %s", name)
	}
	if j.file != nil {
		j.closedSegments = append(j.closedSegments, j.segment)
		if err := j.file.Close(); err != nil {
			return errors.Wrap(err, "journal: close")
		}
	}
	j.file, j.size, j.segment = f, 0, name
	return errors.Wrap(j.disk.SyncFolder(), "journal: sync folder")
}

// nextNumber returns the number of the next segment.
func (j *Journal) nextNumber() uint64 {
	var n uint64
	if j.segment != "" {
		fmt.Sscanf(strings.TrimPrefix(j.segment, segmentPrefix), "%x", &n)
	}
	return n + 1
}

// SaveMeta writes m to the log and syncs it; m replaces the earlier Meta.
func (j *Journal) SaveMeta(m Meta) error {
	payload, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "journal: encode meta")
	}
	p := frame(payload)
	if err := j.write(p); err != nil {
		return err
	}
	j.metaFrame = p
	return nil
}

// SaveSnapshot replaces the snapshot and removes the earlier segments; keep holds
// the entries after the snapshot. The new segment is written first, so that a crash
// at any step leaves either the old snapshot with the old log or the new snapshot
// with the new log. It needs room before it gives any.
func (j *Journal) SaveSnapshot(s Snapshot, keep []Entry) error {
	if !j.snapshotBegun {
		if err := j.rotate(); err != nil {
			return err
		}
		j.snapshotBegun = true
	} else { // what an earlier try wrote still stands in the earlier segments
		j.size, j.torn = 0, true
	}
	old := slices.Clone(j.closedSegments)
	if j.metaFrame != nil { // the segment that holds it is removed below
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
	j.closedSegments, j.snapshotBegun = nil, false
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

func (j *Journal) replaceFile(name string, v any) error {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "journal: encode %s", name)
	}
	if err := j.writeFile(name+newSuffix, frame(payload)); err != nil {
		return err
	}
	if err := j.disk.Rename(name+newSuffix, name); err != nil {
		return errors.Wrapf(err, "journal: rename %s", name)
	}
	return errors.Wrap(j.disk.SyncFolder(), "journal: sync folder")
}

// writeFile writes and syncs a file that holds p and nothing else.
func (j *Journal) writeFile(name string, p []byte) error {
	f, err := j.disk.Create(name)
	if err != nil {
		return errors.Wrapf(err, "journal: create %s", name)
	}
	defer f.Close() // nothing is written after the sync
	if _, err := f.Write(p); err != nil {
		return errors.Wrapf(err, "journal: write %s", name)
	}
	return errors.Wrapf(f.Sync(), "journal: sync %s", name)
}

// Close closes the open segment.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}
