package kqsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"kumquatglade/internal/admin/kqclient"
	"kumquatglade/internal/bench/kqprocess"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqsocket"

	"github.com/cockroachdb/errors"
)

const (
	secret      = "secret-of-the-soak"
	operatorKey = "operator-of-the-soak"
	tolerance   = 2 // data folders that may be lost at once
	seedCount   = 3
	fileMode    = 0o600

	probeRate   = 60.0 // per second and target, the limit that the users set
	retryRatio  = 0.2
	stopHold    = 3300 * time.Millisecond // as the users set it
	stopFinish  = 5600 * time.Millisecond // as the users set it
	graceTime   = 6 * time.Second         // after which the users kill a host that was told to stop
	callsPort   = 0
	adminPort   = 1
	peersPort   = 2
	readyPort   = 3
	controlPort = 4
	dirPort     = 5
	portCount   = 6
)

var domains = []string{"a", "b", "c"}

// WriteSettings writes the settings of all hosts into the folder dir: each host has
// its own loopback address and finds the others by seeds. It returns an error if no
// free ports are found or a file cannot be written.
func WriteSettings(dir string, control, entries int) error {
	addrs, err := kqsocket.FreeAddrs(portCount)
	if err != nil {
		return err
	}
	var ports [portCount]string
	for i, a := range addrs {
		_, ports[i], _ = net.SplitHostPort(a) // FreeAddrs returns valid addresses
	}
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, net.JoinHostPort(controlIP(i), ports[controlPort]))
	}
	for i := range control + entries {
		s := settings(dir, i, control, ports, seeds)
		if err := save(filepath.Join(dir, s.Label+".json"), s); err != nil {
			return err
		}
	}
	return nil
}

func controlIP(i int) string { return fmt.Sprintf("127.0.72.%d", 1+i) }

func settings(dir string, i, control int, ports [portCount]string, seeds []string) kqsettings.Settings {
	s := kqsettings.Settings{
		Domain: domains[i%len(domains)], Region: "soak", Secret: secret, OperatorKey: operatorKey,
		Seeds: seeds, Bootstrap: true, Tolerance: min(tolerance, (control-1)/2), Log: kqsettings.Log{Level: "info"},
		Shared: kqsettings.SharedLimits{RetryRatio: retryRatio, RetrySlack: 20, ProbesPerSecond: probeRate},
		Stop:   kqsettings.Stop{CacheTime: kqsettings.Duration(stopHold), Timeout: kqsettings.Duration(stopFinish)},
	}
	at := func(port int) string { return net.JoinHostPort(s.Host, ports[port]) }
	if i < control {
		s.Label, s.Host = fmt.Sprintf("c%d", i+1), controlIP(i)
		s.Roles, s.Data = []string{kqsettings.RoleControl}, filepath.Join(dir, s.Label)
		s.Listen.Control = at(controlPort)
	} else {
		s.Label, s.Host = fmt.Sprintf("e%d", i-control+1), fmt.Sprintf("127.0.72.%d", 101+i-control)
		s.Roles = []string{kqsettings.RoleEntry}
		s.Listen.Calls, s.Listen.Ready, s.Listen.Directory = at(callsPort), at(readyPort), at(dirPort)
	}
	s.Listen.Admin, s.Listen.Peers = at(adminPort), at(peersPort)
	return s
}

func save(file string, s kqsettings.Settings) error {
	p, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, p, fileMode)
}

// hosts is the system under test.
type hosts struct {
	dir string
	*kqprocess.Hosts
}

func open(dir string) (*hosts, error) {
	h, err := kqprocess.Open(dir)
	if err != nil {
		return nil, err
	}
	if len(h.Control) == 0 || len(h.Control) < 2*h.Control[0].Settings.Tolerance+1 || len(h.Entries) < 2 {
		return nil, errors.Newf("%s: %d control and %d entry hosts are too few", dir, len(h.Control), len(h.Entries))
	}
	return &hosts{dir, h}, nil
}

// disableBootstrap turns bootstrap off in the settings of all hosts once the system
// exists, so that a host with a lost data folder does not create a second one.
func (h *hosts) disableBootstrap() error {
	for _, x := range h.All() {
		x.Settings.Bootstrap = false
		if err := save(filepath.Join(h.dir, x.Settings.Label+".json"), x.Settings); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the control host that leads, nil if none says so.
func (h *hosts) leader(ctx context.Context) *kqprocess.Host {
	for _, c := range h.Control {
		var status kqprocess.Status
		err := kqclient.New(kqclient.Config{Servers: []string{c.Settings.Listen.Admin}, Key: operatorKey}).Get(ctx, "/v1/status", &status)
		if err == nil && status.Replica != nil && status.Replica.Role == "leader" {
			return c
		}
	}
	return nil
}

// tolerance returns how many data folders may be lost at once.
func (h *hosts) tolerance() int { return h.Control[0].Settings.Tolerance }

// loseData kills a control host and deletes its data folder; the hold file delays
// the restart until the folder is gone.
func (h *hosts) loseData(x *kqprocess.Host) error {
	hold := filepath.Join(h.dir, x.Settings.Label+".json.hold")
	if err := os.WriteFile(hold, nil, fileMode); err != nil {
		return err
	}
	defer os.Remove(hold)
	if err := x.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond) // the process exits
	if !strings.HasPrefix(x.Settings.Data, h.dir) {
		return errors.Newf("%s is not below %s", x.Settings.Data, h.dir)
	}
	return os.RemoveAll(x.Settings.Data)
}
