package kqsoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

const maxLogLine = 1 << 20 // bytes

// trace returns what the logs of the entry hosts, as scripts/fleet keeps them, say about the
// requests.
func (h *hosts) trace(lost []string) []string {
	if len(lost) == 0 {
		return nil
	}
	found := map[string][]string{}
	for _, x := range h.Entries {
		f, err := os.Open(filepath.Join(h.dir, x.Settings.Label+".json.err"))
		if err != nil {
			continue // the host writes its log elsewhere
		}
		defer f.Close()
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			var l struct{ Time, ID, Message, Cause string }
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.ID != "" {
				found[l.ID] = append(found[l.ID], fmt.Sprintf("%s %s: %s %s", l.Time, x.Settings.Label, l.Message, l.Cause))
			}
		}
	}
	var list []string
	for _, id := range lost[:min(len(lost), maxViolations)] {
		list = append(list, fmt.Sprintf("lost %s: %d log lines %q", id, len(found[id]), found[id]))
	}
	return list
}
