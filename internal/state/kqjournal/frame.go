package kqjournal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	headerSize = 12       // bytes: length 4, checksum 8
	maxPayload = 64 << 20 // bytes of one frame's payload
)

// ErrCorrupt says that synced data does not match its checksum.
var ErrCorrupt = errors.New("corrupt record")

var errTorn = errors.New("torn record")

// frame returns payload with its header.
func frame(payload []byte) []byte {
	p := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(p, uint32(len(payload)))
	binary.BigEndian.PutUint64(p[4:], xxhash.Sum64(payload))
	return append(p, payload...)
}

// unframe returns the first frame's payload and its whole size.
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

// hasFrame reports whether a good frame starts at any place in p.
func containsFrame(p []byte) bool {
	for i := range p {
		if _, _, err := unframe(p[i:]); err == nil {
			return true
		}
	}
	return false
}
