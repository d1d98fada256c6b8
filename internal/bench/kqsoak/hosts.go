package kqsoak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

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

	questions    = 60.0 // a second and target, as the users allow
	secondRatio  = 0.2
	stopHold     = 3 * time.Second
	stopFinish   = 6 * time.Second
	callsPort    = 0
	adminPort    = 1
	peersPort    = 2
	readyPort    = 3
	controlPort  = 4
	dirPort      = 5
	portsOfHosts = 6
)

var domains = []string{"a", "b", "c"}

// WriteSettings writes the settings of a system into the folder: hosts on loopback
// addresses of their own, which find each other by seeds.
func WriteSettings(dir string, control, entries int) error {
	addrs, err := kqsocket.FreeAddrs(portsOfHosts)
	if err != nil {
		return err
	}
	var ports [portsOfHosts]string
	for i, a := range addrs {
		_, ports[i], _ = net.SplitHostPort(a) // as FreeAddrs made it
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

func settings(dir string, i, control int, ports [portsOfHosts]string, seeds []string) kqsettings.Settings {
	s := kqsettings.Settings{
		Domain: domains[i%len(domains)], Region: "soak", Secret: secret, OperatorKey: operatorKey,
		Seeds: seeds, Bootstrap: true, Tolerance: tolerance, Log: kqsettings.Log{Level: "info"},
		Shared: kqsettings.SharedLimits{RetryRatio: secondRatio, RetrySlack: 20, ProbesPerSecond: questions},
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
	if len(h.Control) < 2*tolerance+1 || len(h.Entries) < 2 {
		return nil, errors.Newf("%s: %d control and %d entry hosts are too few", dir, len(h.Control), len(h.Entries))
	}
	return &hosts{dir, h}, nil
}

// formed notes that the system has been founded: a lost folder must found no
// second one.
func (h *hosts) formed() error {
	for _, x := range h.All() {
		x.Settings.Bootstrap = false
		if err := save(filepath.Join(h.dir, x.Settings.Label+".json"), x.Settings); err != nil {
			return err
		}
	}
	return nil
}

// lose ends a control host, empties its folder and lets it start again.
func (h *hosts) lose(x *kqprocess.Host) error {
	hold := filepath.Join(h.dir, x.Settings.Label+".json.hold")
	if err := os.WriteFile(hold, nil, fileMode); err != nil {
		return err
	}
	defer os.Remove(hold)
	if err := x.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond) // it ends
	if !strings.HasPrefix(x.Settings.Data, h.dir) {
		return errors.Newf("%s is not below %s", x.Settings.Data, h.dir)
	}
	return os.RemoveAll(x.Settings.Data)
}
