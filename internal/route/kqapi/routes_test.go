package kqapi

import (
	"strings"
	"testing"
	"time"
)

// TestAnnouncedColdTime guards against announcements whose cold time is lost, or accepted
// although it is none.
func TestAnnouncedColdTime(t *testing.T) {
	const body = `{"service":"kekhai","id":"k1","addr":"10.0.0.1:80","domain":"a","slots":4,"state":"ready","boot":1,"seq":1`
	for _, c := range []struct {
		field string
		want  time.Duration
		ok    bool
	}{
		{"", 0, true},
		{`,"cold":"20s"`, 20 * time.Second, true},
		{`,"cold":"0s"`, 0, true},
		{`,"cold":"-1s"`, 0, false},
		{`,"cold":"soon"`, 0, false},
		{`,"cold":20}`, 0, false},
	} {
		got, err := decode(strings.NewReader(body + c.field + "}"))
		if got.ColdRemaining != c.want || (err == nil) != c.ok {
			t.Errorf("%s: %v %v", c.field, got.ColdRemaining, err)
		}
	}
}

// TestAmbiguousAnnouncements guards against an announcement with two readings: the decoder
// takes the last value of a key, in any letters, and a draining target would be used again.
func TestAmbiguousAnnouncements(t *testing.T) {
	const body = `{"service":"kekhai","id":"k1","addr":"10.0.0.1:80","domain":"a","slots":4,"state":"draining","boot":1,"seq":1`
	if _, err := decode(strings.NewReader(body + "}")); err != nil {
		t.Fatal(err)
	}
	for _, second := range []string{`"state":"ready"`, `"State":"ready"`, `"ADDR":"10.0.0.2:80"`} {
		if got, err := decode(strings.NewReader(body + "," + second + "}")); err == nil {
			t.Errorf("with %s: %+v", second, got)
		}
	}
}
