package kqcommand

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"kumquatglade/internal/admin/kqadmin"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqevent"
	"kumquatglade/internal/state/kqcontrol"
	"kumquatglade/internal/state/kqroutes"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/golden"
)

// routesStore is a Store in which a document is in force.
type routesStore struct {
	kqcontrol.Store
	proposal *kqroutes.Proposal
}

func (s routesStore) Read(context.Context, kqcontrol.Query) (kqcontrol.Document, error) {
	return kqcontrol.Document{Routes: s.proposal}, nil
}

// serveAdmin starts the admin interface of a host in which the document is in force, and
// returns its address.
func serveAdmin(t *testing.T, source []byte, usage func(*kqroutes.Document) kqproxy.OwnersUsage) string {
	t.Helper()
	var store routesStore
	cfg := kqadmin.Config{OperatorKey: "key", Metrics: metrics.NewRegistry(), Events: kqevent.NewRecorder("h1", nil)}
	if source != nil {
		doc, err := kqroutes.Parse(source)
		if err != nil {
			t.Fatal(err)
		}
		store.proposal = &kqroutes.Proposal{Document: *doc, Source: source}
		if usage != nil {
			cfg.Owners = func() kqproxy.OwnersUsage { return usage(doc) }
		}
	}
	cfg.Store = store
	e := echo.New()
	kqadmin.NewServer(cfg).Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		server.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// run carries out a command and returns its exit code and output.
func run(args ...string) (code int, out string) {
	var stdout, stderr bytes.Buffer
	code = New(&stdout).Run(context.Background(), args, &stderr)
	return code, stdout.String() + stderr.String()
}

// TestOwners compares the list of owners on an entry host and on a control host, and guards
// against keys and digests in it.
func TestOwners(t *testing.T) {
	source, err := os.ReadFile("testdata/owners.json")
	if err != nil {
		t.Fatal(err)
	}
	used := func(doc *kqroutes.Document) kqproxy.OwnersUsage {
		out := kqproxy.ListOwners(doc)
		out.Host, out.Refused = "h1", map[string]uint64{"missing": 1, "unknown": 2, "stale": 0}
		out.Owners[0].Answered, out.Owners[0].Failed, out.Owners[0].Refused = 70, 1, map[string]uint64{"room": 2, "limit": 3}
		return out
	}
	noOwners := []byte(`{"version": 1, "services": [{"name": "a", "health": "/"}]}`)
	for _, c := range []struct {
		name   string
		source []byte
		usage  func(*kqroutes.Document) kqproxy.OwnersUsage
		flags  []string
	}{
		{"owners-entry", source, used, nil},
		{"owners-entry-json", source, used, []string{"--json"}},
		{"owners-control", source, nil, nil},
		{"owners-none", noOwners, nil, nil},
		{"owners-no-routes", nil, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := append([]string{"owners", "--server", serveAdmin(t, c.source, c.usage), "--key", "key"}, c.flags...)
			code, out := run(args...)
			if code != ExitOK {
				t.Fatal(code, out)
			}
			golden.Assert(t, out, c.name+".golden")
			if strings.Contains(out, "secret") || strings.Contains(out, string(kqroutes.DigestKey("secret-1"))) {
				t.Error("the list contains a key or a digest")
			}
		})
	}
}
