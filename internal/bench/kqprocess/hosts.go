package kqprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"kumquatglade/internal/admin/kqclient"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
)

const (
	operatorKey = "bench-operator"
	secret      = "bench-secret"
	fileMode    = 0o600
)

// Host is one process.
type Host struct {
	Settings kqsettings.Settings
	file     string
}

// WriteSettings writes the settings of a system into the folder.
func WriteSettings(dir string, control, entries int, domains []string) error {
	addrs, err := kqsocket.FreeAddrs(3 * (control + entries))
	if err != nil {
		return err
	}
	take := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	var list []kqsettings.Settings
	var controls []kqsettings.Control
	for i := range control + entries {
		s := kqsettings.Settings{
			Host: fmt.Sprintf("e%03d", i-control+1), Domain: domains[i%len(domains)], Region: "bench",
			Roles: []string{kqsettings.RoleEntry}, Secret: secret, OperatorKey: operatorKey,
			Listen: kqsettings.Listen{Calls: take(), Admin: take(), Peers: take()},
			Log:    kqsettings.Log{Level: "warn"},
		}
		if i < control {
			s.Host, s.Roles, s.Listen.Calls = fmt.Sprintf("c%d", i+1), []string{kqsettings.RoleControl}, ""
			s.Data = filepath.Join(dir, s.Host)
			controls = append(controls, kqsettings.Control{Host: s.Host, Domain: s.Domain, Peers: s.Listen.Peers})
		}
		list = append(list, s)
	}
	for _, s := range list {
		s.Control = controls
		p, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, s.Host+".json"), p, fileMode); err != nil {
			return err
		}
	}
	return nil
}

// Hosts is a system of processes.
type Hosts struct {
	Control []*Host
	Entries []*Host
}

// Open reads the settings of a folder.
func Open(dir string) (*Hosts, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("no settings in %s", dir)
	}
	h := &Hosts{}
	for _, f := range files {
		s, err := kqsettings.Load(f)
		if err != nil {
			return nil, err
		}
		host := &Host{Settings: s, file: f}
		if s.HasRole(kqsettings.RoleControl) {
			h.Control = append(h.Control, host)
			continue
		}
		h.Entries = append(h.Entries, host)
	}
	return h, nil
}

// All returns all hosts, control first.
func (h *Hosts) All() []*Host {
	return append(append([]*Host{}, h.Control...), h.Entries...)
}

// Client returns an operators' client that asks the hosts in the given order.
func Client(hosts ...*Host) *kqclient.Client {
	var servers []string
	for _, h := range hosts {
		servers = append(servers, h.Settings.Listen.Admin)
	}
	return kqclient.New(kqclient.Config{Servers: servers, Key: operatorKey})
}

// Pid returns the process number of the host, as scripts/fleet wrote it.
func (h *Host) Pid() (int, error) {
	p, err := os.ReadFile(h.file + ".pid")
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(p)))
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) error {
	pid, err := h.Pid()
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// Status is what experiments need of a host's status.
type Status struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	Serving  bool   `json:"serving"`
	Replica  *struct {
		Role    string `json:"role"`
		Term    uint64 `json:"term"`
		Leader  string `json:"leader"`
		Applied uint64 `json:"applied"`
		First   uint64 `json:"first"`
	} `json:"replica"`
}

// Status asks the host.
func (h *Host) Status(ctx context.Context) (Status, error) {
	var s Status
	err := Client(h).Get(ctx, "/v1/status", &s)
	return s, err
}

// WaitServing returns once all hosts serve, and how long that took.
func (h *Hosts) WaitServing(ctx context.Context, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	for _, host := range h.All() {
		for {
			s, err := host.Status(ctx)
			if err == nil && s.Serving {
				break
			}
			if time.Since(began) > limit {
				return 0, errors.Newf("%s does not serve", host.Settings.Host)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(began), nil
}

// Leader returns the control host that leads, nil if none is known.
func (h *Hosts) Leader(ctx context.Context) *Host {
	for _, c := range h.Control {
		if s, err := c.Status(ctx); err == nil && s.Replica != nil && s.Replica.Role == "leader" {
			return c
		}
	}
	return nil
}

// FolderSize returns the bytes of the host's data folder.
func (h *Host) FolderSize() int64 {
	var sum int64
	filepath.Walk(h.Settings.Data, func(_ string, i os.FileInfo, err error) error { // a partial sum is shown
		if err == nil && !i.IsDir() {
			sum += i.Size()
		}
		return nil
	})
	return sum
}
