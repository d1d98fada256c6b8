package kqsoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

const maxLogLine = 1 << 20 // bytes

// trace returns the log lines of the hosts about the requests.
func (h *hosts) trace(lost []string) []string {
	if len(lost) == 0 {
		return nil
	}
	found := map[string][]string{}
	for _, x := range h.Entries {
		h.scan(x.Settings.Label, func(l logLine) {
			found[l.ID] = append(found[l.ID], fmt.Sprintf("%s %s: %s %s", l.Time, x.Settings.Label, l.Message, l.Cause))
		})
	}
	var list []string
	for _, id := range lost[:min(len(lost), maxViolations)] {
		list = append(list, fmt.Sprintf("lost %s: %d log lines %q", id, len(found[id]), found[id]))
	}
	return list
}

// logLine holds what is shown of a line of a host's log.
type logLine struct {
	Time, ID, Message, Cause string
}

// scan reads the log that scripts/fleet keeps of a host; lines that are cut are left out.
func (h *hosts) scan(label string, each func(logLine)) {
	f, err := os.Open(filepath.Join(h.dir, label+".json.err"))
	if err != nil {
		return // the hosts write their log elsewhere
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.ID != "" {
			each(l)
		}
	}
}
