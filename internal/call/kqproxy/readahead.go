package kqproxy

import (
	"io"
	"sync"
)

const (
	readAheadChunk      = 16 << 10 // bytes that are read from a target at once
	maxReadAheadChunks  = 32       // chunks held for one slow caller: a scanned page or photo
	maxSharedReadAheads = 256      // chunks held for all callers of a host together: a fiftieth of the smallest host's memory
)

// readAheadPool bounds and recycles the chunks of all readAheads of a host. Its tokens
// are held for all chunks but the first of each readAhead.
type readAheadPool struct {
	tokens chan struct{}
	chunks sync.Pool
}

func newReadAheadPool() *readAheadPool {
	return &readAheadPool{
		tokens: make(chan struct{}, maxSharedReadAheads),
		chunks: sync.Pool{New: func() any { return make([]byte, readAheadChunk) }},
	}
}

// readAhead reads a response from its target while the caller still receives earlier
// parts of it, so that a slow caller does not keep the target busy.
type readAhead struct {
	pool  *readAheadPool
	ready chan []byte   // chunks read, in order; closed after the last one
	free  chan []byte   // chunks that the caller has received
	abort chan struct{} // closed when the caller gets no more
	extra int           // chunks with a token of the pool
	err   error         // why reading ended, nil at the end of the response; valid once ready is closed
}

// start reads src until it ends and then calls done with the error, nil after a
// complete response.
func (p *readAheadPool) start(src io.Reader, done func(error)) *readAhead {
	r := &readAhead{
		pool: p, ready: make(chan []byte, maxReadAheadChunks), free: make(chan []byte, maxReadAheadChunks), abort: make(chan struct{}),
	}
	r.free <- p.chunks.Get().([]byte)
	go func() {
		defer close(r.ready)
		r.err = r.fill(src)
		done(r.err)
	}()
	return r
}

// fill reads src into chunks until it ends or the caller gets no more.
func (r *readAhead) fill(src io.Reader) error {
	for {
		chunk := r.nextChunk()
		if r.aborted() {
			return io.ErrClosedPipe
		}
		n, err := src.Read(chunk[:readAheadChunk])
		if n > 0 {
			r.ready <- chunk[:n]
		} else {
			r.free <- chunk
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *readAhead) aborted() bool {
	select {
	case <-r.abort:
		return true
	default:
		return false
	}
}

// nextChunk returns a chunk to read into: a free one, a further one while the bounds
// allow it, or the next one that the caller has received.
func (r *readAhead) nextChunk() []byte {
	select {
	case chunk := <-r.free:
		return chunk
	default:
	}
	if r.extra < maxReadAheadChunks-1 {
		select {
		case r.pool.tokens <- struct{}{}:
			r.extra++
			return r.pool.chunks.Get().([]byte)
		default:
		}
	}
	return <-r.free // also after abort, when writeTo returns all chunks
}

// writeTo writes the response to w as it comes, calling before ahead of each write. It
// returns the error of the target or of w; readErr tells them apart.
func (r *readAhead) writeTo(w io.Writer, before func()) (readErr bool, err error) {
	defer r.release()
	for chunk := range r.ready {
		if err == nil {
			before()
			if _, err = w.Write(chunk); err != nil {
				close(r.abort)
			}
		}
		r.free <- chunk
	}
	if err != nil {
		return false, err
	}
	return r.err != nil, r.err
}

// release returns the chunks and tokens to the pool.
func (r *readAhead) release() {
	close(r.free)
	for chunk := range r.free {
		r.pool.chunks.Put(chunk[:readAheadChunk]) //nolint:staticcheck // a slice header on the heap is small beside the chunk
	}
	for range r.extra {
		<-r.pool.tokens
	}
}
