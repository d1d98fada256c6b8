package kqsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

func TestValidSettings(t *testing.T) {
	s, err := Load("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	if s.Host != "e1" || !s.HasRole(RoleEntry) || !s.HasRole(RoleControl) {
		t.Fatalf("loaded %+v", s)
	}
}

// TestBadSettings holds that each error is one line that names file, key,
// value and what is allowed, and never shows a secret.
func TestInvalidSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.json")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, f := range files {
		_, err := Load(f)
		if err == nil {
			t.Errorf("%s is accepted", f)
			continue
		}
		out.WriteString(err.Error() + "\n")
	}
	golden.Assert(t, out.String(), "bad.golden")
}

func FuzzParse(f *testing.F) {
	p, err := os.ReadFile("testdata/good.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p)
	f.Add([]byte(`{"roles":["entry","entry"]}`))
	f.Fuzz(func(t *testing.T, p []byte) {
		s, err := Parse(p)
		if err == nil && s.Validate() != nil {
			t.Fatal("accepted what is not valid")
		}
	})
}
