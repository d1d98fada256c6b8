package kqlink

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxMessage bounds one message in bytes; a snapshot is the largest.
	maxMessage = 64 << 20

	// packLeast is the size in bytes from which a message is compressed: documents
	// and views repeat themselves, and the links of small hosts are slow.
	minCompressSize = 4 << 10
)

// codec frames one JSON object by its length and counts the bytes. The lowest
// bit of the length says that the object is compressed.
type codec struct {
	sent, received metrics.Counter
}

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is fixed
	}
	return w
}}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// encode returns one object as one frame.
func encode(obj any) ([]byte, error) {
	body, err := json.Marshal(obj)
	if err != nil {
		return nil, err
	}
	packed := uint64(0)
	if len(body) >= minCompressSize {
		if body, err = compress(body); err != nil {
			return nil, err
		}
		packed = 1
	}
	p := binary.AppendUvarint(nil, uint64(len(body))<<1|packed)
	return append(p, body...), nil
}

// WriteObject writes one object as one frame.
func (c codec) WriteObject(w io.Writer, obj any) error {
	p, err := encode(obj)
	if err != nil {
		return err
	}
	return c.writeFrame(w, p)
}

func (c codec) writeFrame(w io.Writer, p []byte) error {
	c.sent.Inc(int64(len(p)))
	_, err := w.Write(p)
	return err
}

// ReadObject reads one frame into v and refuses one over the bound.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	size, packed := n>>1, n&1 == 1
	if size > maxMessage {
		return errors.Newf("message of %d bytes: at most %d", size, maxMessage)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(body)) < size {
		return io.ErrUnexpectedEOF
	}
	c.received.Inc(int64(size))
	if packed {
		if body, err = decompress(body); err != nil {
			return err
		}
	}
	return json.Unmarshal(body, v)
}

func decompress(p []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxMessage+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed message")
	}
	if len(body) > maxMessage {
		return nil, errors.Newf("message of over %d bytes", maxMessage)
	}
	return body, nil
}
