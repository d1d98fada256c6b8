package kqlistener

import "bytes"

// framing tells where the bytes handed to a server must be split, so that it holds nothing
// of a further request when a handler runs. The zero value stands at the start of a head.
// Splitting more often than needed does no harm.
type framing struct {
	body   int64 // bytes to come of a body with a length
	handed int   // bytes handed since the last split, of a head, of a body in chunks, or of a further request
	whole  int   // bytes handed of the head or body in chunks before the last split
	blank  bool  // the current line has no bytes yet but line ends
}

// within cuts the end of p that bytes behind the current body would fill. Of others, which
// may have to wait, it leaves room for not more than maxAhead.
func (f *framing) within(p []byte) []byte {
	limit := f.body
	if limit == 0 {
		limit = maxAhead
	}
	return p[:min(int64(len(p)), limit)]
}

// hand returns how many bytes of p the server gets: of a body with a length its rest, else
// all up to the next empty line, which ends a head and a body in chunks.
func (f *framing) hand(p []byte) int {
	if f.body > 0 {
		p = f.within(p)
		f.body -= int64(len(p))
		return len(p)
	}
	for i := 0; i < len(p); {
		length := bytes.IndexByte(p[i:], '\n')
		if length < 0 {
			f.blank = f.blank && isBlank(p[i:])
			break
		}
		if f.blank && isBlank(p[i:i+length]) {
			n := i + length + 1
			f.whole, f.handed, f.blank = f.handed+n, 0, false
			return n
		}
		f.blank = true
		i += length + 1
	}
	f.handed += len(p)
	return len(p)
}

// isBlank reports whether the line, or its beginning, has nothing but the end of a line.
func isBlank(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }
