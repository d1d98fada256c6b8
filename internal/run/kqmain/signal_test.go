package kqmain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqsoak"
	"kumquatglade/internal/call/kqproxy"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqsocket"
)

const (
	runAsDaemon = "KUMQUATD_TEST_RUN" // in the environment of a child process, which then runs the daemon

	operator    = "operator-of-the-test"
	startLimit  = 30 * time.Second
	workTime    = 600 * time.Millisecond // of the request that is in progress when the signal comes
	signalAfter = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a host that runs as a process of its own, with its log on a pipe.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    *os.File // end of the pipe from which the log is read
	addrs  kqsettings.Listen
	ledger *kqsoak.Ledger
}

// startProcess starts a host with both roles and a target, and waits until it serves.
func startProcess(t *testing.T) *process {
	t.Helper()
	const ip = "127.0.74.1"
	free, err := kqsocket.FreeAddrs(6)
	if err != nil {
		t.Fatal(err)
	}
	at := func(i int) string {
		_, port, _ := net.SplitHostPort(free[i])
		return net.JoinHostPort(ip, port)
	}
	addrs := kqsettings.Listen{Calls: at(0), Admin: at(1), Peers: at(2), Ready: at(3), Control: at(4), Directory: at(5)}
	dir := t.TempDir()
	settings, err := json.Marshal(kqsettings.Settings{
		Host: ip, Domain: "a", Region: "r", Roles: []string{kqsettings.RoleEntry, kqsettings.RoleControl}, Data: filepath.Join(dir, "data"),
		Secret: "secret-of-the-test", OperatorKey: operator, Seeds: []string{addrs.Control}, Bootstrap: true, Listen: addrs,
		Log:  kqsettings.Log{Path: kqsettings.Stdout},
		Stop: kqsettings.Stop{CacheTime: kqsettings.Duration(time.Second), Timeout: kqsettings.Duration(4 * time.Second)},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "host.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, log: r, addrs: addrs, ledger: kqsoak.NewLedger(), cmd: exec.Command(os.Args[0], "--settings", file)}
	p.cmd.Env = append(os.Environ(), runAsDaemon+"=1")
	p.cmd.Stdout, p.cmd.Stderr = w, os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	t.Cleanup(func() {
		r.Close()
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()         // the signal is what ends it
	})
	target := kqsoak.StartTarget(kqsoak.TargetConfig{
		ID: "kekhai-1", Ledger: p.ledger, ControlAddrs: []string{addrs.Control}, Work: func() time.Duration { return workTime },
	})
	t.Cleanup(target.Kill)
	go func() { _, _ = io.Copy(io.Discard, r) }() // until a test closes the pipe
	p.want("PUT", addrs.Admin, "/v1/routes", kqsoak.Routes(7, false))
	p.want("GET", addrs.Calls, "/read/1", nil)
	return p
}

// want repeats a request until it succeeds.
func (p *process) want(method, addr, path string, body []byte) {
	p.t.Helper()
	for end := time.Now().Add(startLimit); ; time.Sleep(50 * time.Millisecond) {
		status, err := p.send(method, addr, path, body)
		if status/100 == 2 {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("%s %s: %d %v", method, path, status, err)
		}
	}
}

func (p *process) send(method, addr, path string, body []byte) (status int, err error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	id := fmt.Sprintf("%s-%d", strings.Trim(path, "/"), time.Now().UnixNano())
	p.ledger.Sent(id, method == http.MethodPost)
	req.Host, req.Close = "rent.example", true
	req.Header.Set("Authorization", "Bearer "+operator)
	req.Header.Set(kqproxy.DefaultHeaderNames.RequestID, id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// TestNothingButStopEndsRequests sends signals, and closes the reader of the log, while a
// request is in progress. It guards against a process that ends at once and cuts what it
// has passed on to a target.
func TestNothingButStopEndsRequests(t *testing.T) {
	cases := []struct {
		name   string
		happen func(p *process) error
	}{
		{"hang-up", func(p *process) error { return p.cmd.Process.Signal(syscall.SIGHUP) }},
		{"reader of the log is gone, then the stop", func(p *process) error {
			p.log.Close()
			return p.cmd.Process.Signal(syscall.SIGTERM)
		}},
		{"stop and hang-up", func(p *process) error {
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			return p.cmd.Process.Signal(syscall.SIGHUP)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := startProcess(t)
			happened := make(chan error, 1)
			time.AfterFunc(signalAfter, func() { happened <- c.happen(p) })
			status, err := p.send("POST", p.addrs.Calls, "/file/1", []byte("filing"))
			if err != nil || status != http.StatusOK {
				t.Errorf("request in progress: %d %v, want its whole response", status, err)
			}
			if err := <-happened; err != nil {
				t.Error(err)
			}
		})
	}
}
