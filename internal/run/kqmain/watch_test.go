package kqmain

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"

	"github.com/cockroachdb/errors"
)

// TestSettingsAreAppliedOnceWhole guards against a change of the settings that is never
// applied, because the file was read while it was written and its time did not change again.
func TestSettingsAreAppliedOnceWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	modified := time.Unix(1000, 0)
	write := func(content string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	var applied []string
	w := settingsWatch{
		path: path, log: kqlog.Discard(),
		load: func(path string) (kqsettings.Settings, error) {
			p, err := os.ReadFile(path)
			if err == nil && string(p) != "whole" {
				err = errors.New("cut off")
			}
			return kqsettings.Settings{Seeds: []string{string(p)}}, err
		},
		set: func(seeds []string) { applied = append(applied, seeds...) },
	}
	for _, content := range []string{"who", "whole", "whole"} {
		write(content)
		w.apply(false)
	}
	if !slices.Equal(applied, []string{"whole"}) {
		t.Errorf("applied %v, want the whole file once", applied)
	}
	w.apply(true)
	if len(applied) != 2 {
		t.Errorf("applied %v, want it once more after a signal", applied)
	}
}
