package kqmain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqsoak"

	"golang.org/x/sys/unix"
)

// TestCallersTakeNoDescriptorOfTheDisk guards against a host with both roles that ends, with
// requests in progress, because the connections of callers take all of its descriptors when the
// control role opens a file.
func TestCallersTakeNoDescriptorOfTheDisk(t *testing.T) {
	p := startProcess(t)
	pid := p.cmd.Process.Pid
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	const spare = 20 // descriptors
	most := uint64(len(open) + spare)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil); err != nil {
		t.Fatal(err)
	}
	admin, err := net.Dial("tcp", p.addrs.Admin) // before the flood
	if err != nil {
		t.Fatal(err)
	}
	defer admin.Close()
	for range 2 * spare {
		c, err := net.Dial("tcp", p.addrs.Calls)
		if err != nil {
			break
		}
		defer c.Close()
	}
	r := bufio.NewReader(admin)
	for version := uint64(8); version < 24; version++ { // several segments of the journal
		body := manyRoutes(t, version)
		_ = admin.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(admin, "PUT /v1/routes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", operator, len(body), body)
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("version %d: %v", version, err)
		}
		text, _ := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusOK {
			t.Fatalf("version %d: %d %.300s", version, res.StatusCode, text)
		}
	}
}

// manyRoutes returns routes of some 700 KB that hardly compress.
func manyRoutes(t *testing.T, version uint64) []byte {
	t.Helper()
	var doc map[string]any
	if err := json.Unmarshal(kqsoak.Routes(version, false), &doc); err != nil {
		t.Fatal(err)
	}
	host := doc["hosts"].([]any)[0].(map[string]any)
	routes := host["routes"].([]any)
	for i := range 4000 {
		route := maps.Clone(routes[0].(map[string]any))
		name := fmt.Sprintf("%x-%d", rand.Uint64(), i)
		route["name"], route["prefix"] = name, "/"+name+"/"
		routes = append(routes, route)
	}
	host["routes"] = routes
	p, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return p
}
