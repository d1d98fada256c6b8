package kqlink

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// maxMessage bounds one message in bytes; a snapshot is the largest.
const maxMessage = 64 << 20

// codec frames one JSON object by its length and counts the bytes.
type codec struct {
	sent, received metrics.Counter
}

// WriteObject writes one object as one frame.
func (c codec) WriteObject(w io.Writer, obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	p := binary.AppendUvarint(nil, uint64(len(body)))
	p = append(p, body...)
	c.sent.Inc(int64(len(p)))
	_, err = w.Write(p)
	return err
}

// ReadObject reads one frame into v and refuses one over the bound.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > maxMessage {
		return errors.Newf("message of %d bytes: at most %d", n, maxMessage)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if uint64(len(body)) < n {
		return io.ErrUnexpectedEOF
	}
	c.received.Inc(int64(n))
	return json.Unmarshal(body, v)
}
