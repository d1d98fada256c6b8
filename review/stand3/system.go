package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// plan says which processes a system has.
type plan struct {
	controls, entries int
	contracts         []string
	bounds            map[string]any
}

// system is the set of processes under test. All addresses are in one random loopback network.
type system struct {
	dir     string
	command []string
	network string // first two bytes of the addresses
	port    int    // first of the ports, which are the same on all hosts
	plan    plan
	rec     *record
	hosts   map[string]*host
	ended   bool
}

// host is one process of the system.
type host struct {
	name, ip string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// Offsets of the ports of a host from the first one.
const (
	portFront = iota
	portReady
	portControl
	portDirectory
	portInternal
	portsInternal = 8
	portInstance  = portInternal + portsInternal
	portsAll
)

// deployCommand returns the words of the run line of the deploy file.
func deployCommand() ([]string, error) {
	p, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(p)
	if m == nil {
		return nil, errors.New("deploy file: no run line")
	}
	return strings.Fields(string(m[1])), nil
}

func newSystem(dir string, p plan, rec *record) (*system, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, command: command, plan: p, rec: rec, hosts: map[string]*host{}}
	s.network = fmt.Sprintf("127.%d", 2+rand.IntN(250))
	s.port = 20000 + rand.IntN(10000)/portsAll*portsAll
	for i := range p.controls {
		s.add(fmt.Sprintf("core-%d", i+1), s.ip(1, i+1))
	}
	for i := range p.entries {
		s.add(fmt.Sprintf("front-%d", i+1), s.ip(2, i+1))
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		s.end()
		os.Exit(exitNotRun)
	}()
	return s, nil
}

// ip returns the address of the n-th host of a group.
func (s *system) ip(group, n int) string { return fmt.Sprintf("%s.%d.%d", s.network, group, n) }

func (s *system) addr(ip string, offset int) string {
	return net.JoinHostPort(ip, fmt.Sprint(s.port+offset))
}

func (s *system) add(name, ip string) {
	s.hosts[name] = &host{name: name, ip: ip, settings: filepath.Join(s.dir, name+".json")}
}

// writeSettings writes the settings file of a host as the platform fills the template.
func (s *system) writeSettings(h *host, first bool) error {
	isCore := strings.HasPrefix(h.name, "core")
	var seeds []string
	for i := range min(s.plan.controls, 3) {
		seeds = append(seeds, s.addr(s.ip(1, i+1), portControl))
	}
	fields := map[string]any{
		"node": h.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": h.ip, "zone": "z-a", "region": "z", "zones": map[string]string{"z-a": "z"},
		"internalPortRange": []int{s.port + portInternal, s.port + portInternal + portsInternal - 1},
		"seedNodes":         seeds, "bootstrap": first, "faultCounted": isCore, "discovery": "registration", "entry": "directory",
		"heartbeat": "1500ms", "contracts": s.plan.contracts, "bounds": s.plan.bounds, "configMode": "highest",
		"listenAddrs": map[string]string{
			"front": s.addr(h.ip, portFront), "ready": s.addr(h.ip, portReady), "directory": s.addr(h.ip, portDirectory),
		},
		"limits":         map[string]any{"cpuShare": 0.32, "cpuSpeedup": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"faultTolerance": map[string]int{"machines": (s.plan.controls - 1) / 2, "zones": 0, "regions": 0},
	}
	if isCore {
		fields["role"], fields["machineClass"], fields["serves"] = "control", "core", []string{"control"}
		fields["listenAddrs"] = map[string]string{"control": s.addr(h.ip, portControl)}
		fields["dataDir"] = filepath.Join(s.dir, h.name)
	}
	p, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, p, 0o600)
}

// start starts the process of a host.
func (s *system) start(name string, first bool) error {
	h := s.hosts[name]
	if err := s.writeSettings(h, first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(s.command[0], s.command[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATGLADE_NODE_FILE=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		if !s.ended {
			s.rec.note("process %s ended: %v", name, err)
		}
		close(done)
	}(h.cmd, h.done)
	return nil
}

func (s *system) startAll() error {
	for name := range s.hosts {
		if err := s.start(name, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a host.
func (s *system) signal(name string, sig syscall.Signal) {
	s.rec.note("%s gets signal %q", name, sig)
	_ = s.hosts[name].cmd.Process.Signal(sig) // it may have ended
}

// end kills all processes that were started.
func (s *system) end() {
	s.ended = true
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil && h.done != nil {
			_ = h.cmd.Process.Kill() // it may have ended
			<-h.done
		}
	}
}

// put sends a desired state to the control hosts in turn until one acknowledges it.
func (s *system) put(doc map[string]any, within time.Duration) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	last := errors.New("no control host")
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		ip := s.ip(1, 1+i%s.plan.controls)
		req, err := http.NewRequest(http.MethodPut, "http://"+s.addr(ip, portControl)+"/config", strings.NewReader(string(body)))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			last = err
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		s.rec.note("PUT /config %v at %s: %d %s", doc["version"], ip, res.StatusCode, strings.TrimSpace(string(text)))
		if res.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d", res.StatusCode)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("desired state %v: %w", doc["version"], last)
}

// waitReady waits until all entry hosts say that they are ready.
func (s *system) waitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range s.plan.entries {
			res, err := client.Get("http://" + s.addr(s.ip(2, i+1), portReady) + "/readiness")
			if err != nil {
				continue
			}
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == s.plan.entries {
			return nil
		}
	}
	return errors.New("the entry hosts are not ready")
}
