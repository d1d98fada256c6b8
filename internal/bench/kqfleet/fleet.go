package kqfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"kumquatglade/internal/admin/kqclient"
	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqsocket"
	"kumquatglade/internal/run/kqdaemon"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

const (
	operatorKey = "bench-operator"
	secret      = "bench-secret"
	readyLimit  = 30 * time.Second
)

// Config constructs a Fleet.
type Config struct {
	Control int
	Entries int
	Domains []string // failure domains, given to hosts in turn
	Region  string
	Folder  string // parent of the data folders, a temporary one if empty
	Options kqdaemon.Options
}

// Host is one host of the fleet; Daemon is nil while it is down.
type Host struct {
	Settings kqsettings.Settings
	Daemon   *kqdaemon.Daemon
}

// Fleet is a running system.
type Fleet struct {
	cfg     Config
	folder  string
	Control []*Host
	Entries []*Host
	Targets []*kqtarget.Target
	log     *kqlog.Log
	mu      sync.Mutex // guards the Daemon of every host
}

// Start starts all hosts and waits until every entry host serves.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, folder: cfg.Folder, log: kqlog.Discard()}
	if f.folder == "" {
		dir, err := os.MkdirTemp("", "kumquatbench-")
		if err != nil {
			return nil, err
		}
		f.folder = dir
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.settle(); err != nil {
		return err
	}
	for _, h := range append(append([]*Host{}, f.Control...), f.Entries...) {
		if err := f.Up(h); err != nil {
			return err
		}
	}
	return f.WaitServing()
}

// settle writes the settings of all hosts.
func (f *Fleet) settle() error {
	addrs, err := kqsocket.FreeAddrs(3 * (f.cfg.Control + f.cfg.Entries))
	if err != nil {
		return err
	}
	take := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	var controls []kqsettings.Control
	for i := range f.cfg.Control {
		h := f.host(fmt.Sprintf("c%d", i+1), i, kqsettings.RoleControl)
		h.Settings.Listen = kqsettings.Listen{Admin: take(), Peers: take()}
		h.Settings.Data = filepath.Join(f.folder, h.Settings.Host)
		controls = append(controls, kqsettings.Control{Host: h.Settings.Host, Domain: h.Settings.Domain, Peers: h.Settings.Listen.Peers})
		f.Control = append(f.Control, h)
	}
	for i := range f.cfg.Entries {
		h := f.host(fmt.Sprintf("e%02d", i+1), i, kqsettings.RoleEntry)
		h.Settings.Listen = kqsettings.Listen{Calls: take(), Admin: take(), Peers: take()}
		f.Entries = append(f.Entries, h)
	}
	for _, h := range append(append([]*Host{}, f.Control...), f.Entries...) {
		h.Settings.Control = controls
	}
	return nil
}

func (f *Fleet) host(name string, i int, role string) *Host {
	return &Host{Settings: kqsettings.Settings{
		Host: name, Domain: f.cfg.Domains[i%len(f.cfg.Domains)], Region: f.cfg.Region,
		Roles: []string{role}, Secret: secret, OperatorKey: operatorKey,
	}}
}

// Up starts a host that is down.
func (f *Fleet) Up(h *Host) error {
	d, err := kqdaemon.StartWith(h.Settings, f.log, f.cfg.Options)
	if err != nil {
		return errors.Wrapf(err, "start %s", h.Settings.Host)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Daemon = d
	return nil
}

// Running returns the daemons of the entry hosts that are up.
func (f *Fleet) Running() []*kqdaemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*kqdaemon.Daemon
	for _, h := range f.Entries {
		if h.Daemon != nil {
			list = append(list, h.Daemon)
		}
	}
	return list
}

// Down ends a host at once, as a crash would.
func (f *Fleet) Down(h *Host) {
	f.mu.Lock()
	d := h.Daemon
	h.Daemon = nil
	f.mu.Unlock()
	if d != nil {
		d.Close()
	}
}

// WaitServing returns once every entry host serves.
func (f *Fleet) WaitServing() error {
	until := time.Now().Add(readyLimit)
	for _, h := range f.Entries {
		for h.Daemon != nil && !h.Daemon.Serving() {
			if time.Now().After(until) {
				return errors.Newf("%s does not serve", h.Settings.Host)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// Client returns an operators' client of all control hosts.
func (f *Fleet) Client() *kqclient.Client {
	var servers []string
	for _, h := range f.Control {
		servers = append(servers, h.Settings.Listen.Admin)
	}
	return kqclient.New(kqclient.Config{Servers: servers, Key: operatorKey})
}

// Apply has a contract accepted and in force on all entry hosts.
func (f *Fleet) Apply(ctx context.Context, c kqcontract.Contract) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var out json.RawMessage
	return f.Client().Put(ctx, "/v1/contracts/"+c.Owner+"?wait=10s", body, &out)
}

// Addrs returns the calls addresses of all entry hosts.
func (f *Fleet) Addrs() []string {
	var list []string
	for _, h := range f.Entries {
		list = append(list, h.Settings.Listen.Calls)
	}
	return list
}

// AddTargets starts n targets of a service and waits until all entry hosts
// know them.
func (f *Fleet) AddTargets(n int, cfg kqtarget.Config) ([]*kqtarget.Target, error) {
	var list []*kqtarget.Target
	addrs := f.Addrs()
	for i := range n {
		c := cfg
		c.ID = fmt.Sprintf("%s-%d", cfg.Service, i+1)
		c.Addr = "127.0.0.1:0"
		c.Domain = f.cfg.Domains[i%len(f.cfg.Domains)]
		c.Entries = append(append([]string{}, addrs[i%len(addrs):]...), addrs[:i%len(addrs)]...)
		t, err := kqtarget.Start(c)
		if err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	f.Targets = append(f.Targets, list...)
	return list, f.waitTargets(cfg.Service, n)
}

func (f *Fleet) waitTargets(service string, n int) error {
	until := time.Now().Add(readyLimit)
	for _, h := range f.Entries {
		for h.Daemon != nil && h.Daemon.CountTargets(service) < n {
			if time.Now().After(until) {
				return errors.Newf("%s does not know all targets of %s", h.Settings.Host, service)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// Close stops everything and removes a temporary folder.
func (f *Fleet) Close() {
	var wait sync.WaitGroup
	for _, t := range f.Targets {
		wait.Go(t.Kill)
	}
	wait.Wait()
	for _, h := range append(append([]*Host{}, f.Entries...), f.Control...) {
		f.Down(h)
	}
	if f.cfg.Folder == "" {
		os.RemoveAll(f.folder)
	}
}

// Stop ends a host as planned.
func (f *Fleet) Stop(h *Host) {
	f.mu.Lock()
	d := h.Daemon
	h.Daemon = nil
	f.mu.Unlock()
	if d != nil {
		d.Stop(make(chan struct{}))
	}
}
