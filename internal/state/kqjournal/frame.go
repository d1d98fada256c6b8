package kqjournal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	headerSize = 12       // bytes: length 4, checksum 8
	maxPayload = 64 << 20 // bytes, largest payload of a frame
)

// ErrCorrupt is the error for synced data that is damaged: a checksum does not
// match or log entries are missing.
var ErrCorrupt = errors.New("corrupt record")

var errTorn = errors.New("incomplete record")

// frame returns payload preceded by its header.
func frame(payload []byte) []byte {
	p := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(p, uint32(len(payload)))
	binary.BigEndian.PutUint64(p[4:], xxhash.Sum64(payload))
	return append(p, payload...)
}

// unframe returns the payload of the first frame in p and the size of the frame
// with its header, or errTorn if p does not start with a valid frame.
func unframe(p []byte) (payload []byte, size int, err error) {
	if len(p) < headerSize {
		return nil, 0, errTorn
	}
	n := int(binary.BigEndian.Uint32(p))
	if n == 0 || n > maxPayload || headerSize+n > len(p) {
		return nil, 0, errTorn
	}
	payload = p[headerSize : headerSize+n]
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(p[4:]) {
		return nil, 0, errTorn
	}
	return payload, headerSize + n, nil
}

// containsFrame reports whether a valid frame starts at any offset of p.
func containsFrame(p []byte) bool {
	for i := range p {
		if _, _, err := unframe(p[i:]); err == nil {
			return true
		}
	}
	return false
}
