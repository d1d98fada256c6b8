package kqevent

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Stamp is hybrid logical time: the wall clock in microseconds and a count
// that orders what the wall clock does not.
type Timestamp struct {
	Wall  int64
	Count uint32
}

// String writes the stamp as "wall.count".
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall, s.Count)
}

// ParseStamp reads what String wrote; the empty word is the zero stamp.
func ParseTimestamp(word string) (Timestamp, error) {
	var s Timestamp
	if word == "" {
		return s, nil
	}
	wall, count, ok := strings.Cut(word, ".")
	if !ok {
		return s, errors.Newf("stamp %q: want wall.count", word)
	}
	if _, err := fmt.Sscan(wall, &s.Wall); err != nil {
		return s, errors.Newf("stamp %q: wall is no number", word)
	}
	if _, err := fmt.Sscan(count, &s.Count); err != nil {
		return s, errors.Newf("stamp %q: count is no number", word)
	}
	return s, nil
}

// Less reports whether s is earlier than o.
func (s Timestamp) Less(o Timestamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Count < o.Count
}

// MarshalText writes the stamp as a word.
func (s Timestamp) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads the word.
func (s *Timestamp) UnmarshalText(p []byte) error {
	v, err := ParseTimestamp(string(p))
	*s = v
	return err
}

// maxAhead bounds how far a peer's clock may pull this host's stamps.
const maxClockSkew = time.Minute

// Clock gives stamps that grow on this host and exceed all observed ones.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// NewClock returns a Clock over a wall clock.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp later than every earlier and every observed one.
func (c *Clock) Next() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMicro()
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe takes the stamp of a received message; one that is over a minute
// ahead of this host's clock is not believed.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > c.now().Add(maxClockSkew).UnixMicro() {
		return
	}
	if c.last.Less(s) {
		c.last = s
	}
}
