package kqevent

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timestamp is hybrid logical time: the wall clock in microseconds and a
// counter that orders events of the same microsecond.
type Timestamp struct {
	Wall  int64
	Count uint32
}

// String formats the timestamp as "wall.count".
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall, s.Count)
}

// ParseTimestamp parses the format of String; the empty string is the zero
// timestamp.
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

// MarshalText implements encoding.TextMarshaler.
func (s Timestamp) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Timestamp) UnmarshalText(p []byte) error {
	v, err := ParseTimestamp(string(p))
	*s = v
	return err
}

// maxClockSkew is how far a peer's timestamp may be ahead of this host's clock and
// still be taken over, so that one wrong clock cannot advance all others.
const maxClockSkew = time.Minute

// Clock is a hybrid logical clock: its timestamps increase and exceed all observed
// ones.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// NewClock returns a Clock over a wall clock.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a timestamp later than every earlier and every observed one.
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

// Observe takes over the timestamp of a received message; one that is more than
// maxClockSkew ahead of this host's clock is ignored.
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
