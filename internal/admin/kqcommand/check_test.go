package kqcommand

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

// TestCheckRoutes compares the report of each finding with its golden file, and guards the
// exit codes that scripts rely on.
func TestCheckRoutes(t *testing.T) {
	source, err := os.ReadFile("testdata/check.json")
	if err != nil {
		t.Fatal(err)
	}
	begin, _, _ := strings.Cut(string(source), `{"name": "acme"`)
	ownersList := strings.TrimSuffix(strings.TrimPrefix(string(source), begin), "\n  ]\n}\n")
	cases := []struct {
		name, from, to string
		code           int
	}{
		{"clean", ``, ``, ExitOK},
		{"syntax", `"limits": {`, `"limits": {,`, ExitRefused},
		{"cut-off", "\n}\n", ``, ExitRefused},
		{"type", `"timeout": "1s"`, `"timeout": 1`, ExitRefused},
		{"unknown-key", `"limits"`, `"limit"`, ExitRefused},
		{"unknown-service", `"service": "chiso"`, `"service": "nobody"`, ExitRefused},
		{"invalid-value", `"attempts": 2`, `"attempts": 0`, ExitRefused},
		{"same-key", `"secret-2"`, `"secret-1"`, ExitRefused},
		{"shadowed", `"name": "rent2.example"`, `"name": "RENT.example"`, ExitWarnings},
		{"host-with-port", `"name": "rent2.example"`, `"name": "RENT.example:80"`, ExitOK},
		{"weight-0", `"weight": 10`, `"weight": 0`, ExitWarnings},
		{"all-weights-0", `"weight": 90}, {"service": "kekhai", "weight": 10`, `"weight": 0}, {"service": "kekhai", "weight": 0`, ExitWarnings},
		{"owner-without-keys", `["secret-2"]`, `[]`, ExitWarnings},
		{"empty-owners", ownersList, ``, ExitWarnings},
		{"timeout-below-objective", `"timeout": "1s"`, `"timeout": "100ms"`, ExitWarnings},
		{"rate-without-burst", `"burst": 40`, `"burst": 0`, ExitWarnings},
		{"burst-without-rate", `"rate": 118`, `"rate": 0`, ExitWarnings},
		{"cold-rate-without-time", `"coldTime": "20s", `, ``, ExitWarnings},
		{"uploads-without-limit", `"body": 67108864`, `"body": 0`, ExitWarnings},
		{"several", `"rate": 118, "burst": 40, "keys": ["secret-1"]`, `"burst": 40`, ExitWarnings},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out := checkFile(t, strings.Replace(string(source), c.from, c.to, 1))
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			golden.Assert(t, out, "check-"+c.name+".golden")
		})
	}
	t.Run("json", func(t *testing.T) {
		code, out := checkFile(t, strings.Replace(string(source), `"weight": 10`, `"weight": 0`, 1), "--json")
		if code != ExitWarnings {
			t.Errorf("exit code %d", code)
		}
		golden.Assert(t, out, "check-json.golden")
	})
	if code, out := run("routes", "check", "testdata/nothing.json"); code != ExitUsage {
		t.Errorf("a file that does not exist: exit code %d, %s", code, out)
	}
}

// checkFile checks a document with the arguments. The output has the file's base name.
func checkFile(t *testing.T, source string, args ...string) (code int, out string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "routes.json")
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out = run(append([]string{"routes", "check", path}, args...)...)
	if strings.Contains(out, "secret") {
		t.Error("the report shows a key")
	}
	return code, strings.ReplaceAll(out, filepath.Dir(path)+"/", "")
}

// TestCheckAgainst compares a document with another file and with the routes in force, and
// guards against keys in the report.
func TestCheckAgainst(t *testing.T) {
	source, err := os.ReadFile("testdata/check.json")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(
		`"version": 12`, `"version": 13`, `"header": 16384`, `"header": 8192`, `"connections": 220`, `"connections": 110`, `"timeout": "1s"`, `"timeout": "2s"`,
		`"/filings/"`, `"/files/"`, `["secret-2"]`, `["secret-2", "secret-4"]`, `"rate": 118`, `"rate": 60`, `"name": "closed"`, `"name": "opened"`,
		`"regions": ["east", "west"]`, `"regions": ["west"]`,
	).Replace(string(source))
	server := []string{"--against", "--server", serveAdmin(t, source, nil), "--key", "key"}
	for _, c := range []struct {
		name, source string
		args         []string
		code         int
	}{
		{"against-file", changed, []string{"testdata/check.json"}, ExitOK},
		{"against-server", changed, server, ExitOK},
		{"against-same", string(source), server, ExitWarnings},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out := checkFile(t, c.source, c.args...)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			golden.Assert(t, out, "check-"+c.name+".golden")
		})
	}
	if code, out := checkFile(t, changed, append([]string{"testdata/check.json"}, server...)...); code != ExitUsage {
		t.Errorf("both at once: exit code %d, %s", code, out)
	}
	if code, out := checkFile(t, changed, "--against", "--server", serveAdmin(t, nil, nil), "--key", "key"); code != ExitRefused {
		t.Errorf("no routes in force: exit code %d, %s", code, out)
	}
}
