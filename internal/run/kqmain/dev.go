package kqmain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"kumquatglade/internal/bench/kqtarget"
	"kumquatglade/internal/call/kqresponse"
	"kumquatglade/internal/host/kqlog"
	"kumquatglade/internal/host/kqsettings"
	"kumquatglade/internal/peer/kqsocket"
	"kumquatglade/internal/run/kqdaemon"
	"kumquatglade/internal/state/kqcontract"

	"github.com/cockroachdb/errors"
)

const (
	devOwner        = "demo"
	devService      = "echo"
	devOperatorKey  = "dev-operator"
	devStartTimeout = 20 * time.Second
)

// runDev runs one host with both roles, a contract and a sample target.
func runDev(stdout, stderr io.Writer) int {
	s, err := devSettings()
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitFatal
	}
	log, err := kqlog.Open(s.Host, "warn", "")
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitFatal
	}
	signals := notifyStop()
	d, err := kqdaemon.Start(s, log.Component("daemon"))
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		return exitFatal
	}
	target, err := devTarget(s)
	if err != nil {
		fmt.Fprintln(stderr, "kumquatd:", err)
		d.Close()
		return exitFatal
	}
	defer target.Kill()
	fmt.Fprintf(stdout, "data folder: %s\n", s.Data)
	fmt.Fprintf(stdout, "operate:     kumquat --server %s --key %s status\n", s.Listen.Admin, devOperatorKey)
	fmt.Fprintf(stdout, "try:         curl -sS -H 'Kumquat-Owner: %s' -H 'Kumquat-Service: %s' -d hello http://%s/greeting\n",
		devOwner, devService, s.Listen.Calls)
	return serve(d, signals, stderr)
}

func devSettings() (kqsettings.Settings, error) {
	data, err := os.MkdirTemp("", "kumquatd-dev-")
	if err != nil {
		return kqsettings.Settings{}, err
	}
	ports, err := kqsocket.FreeAddrs(3)
	if err != nil {
		return kqsettings.Settings{}, err
	}
	s := kqsettings.Settings{
		Host: "dev", Domain: "local-a", Region: "local", Data: data,
		Roles:  []string{kqsettings.RoleEntry, kqsettings.RoleControl},
		Listen: kqsettings.Listen{Calls: ports[0], Admin: ports[1], Peers: ports[2]},
		Secret: "dev-secret", OperatorKey: devOperatorKey,
		Control: []kqsettings.Control{{Host: "dev", Domain: "local-a", Peers: ports[2]}},
	}
	return s, s.Validate()
}

// devTarget applies the sample contract and starts the sample target.
func devTarget(s kqsettings.Settings) (*kqtarget.Target, error) {
	contract := kqcontract.Contract{Owner: devOwner, Version: 1, Services: []kqcontract.Service{{
		Name: devService, Idempotent: []string{"GET", "HEAD"}, Deadline: kqcontract.Duration(2 * time.Second),
		Rate: 1000, Burst: 100, Active: 64, Queue: 64, Share: 1, Probes: 1, Retries: 10, Hedges: 5, Body: 1 << 20,
	}}}
	body, err := json.Marshal(contract)
	if err != nil {
		return nil, err
	}
	if err := put("http://"+s.Listen.Admin+"/v1/contracts/"+devOwner+"?wait=5s", body); err != nil {
		return nil, err
	}
	target, err := kqtarget.Start(kqtarget.Config{
		Service: devService, ID: "echo-1", Addr: "127.0.0.1:0", Domain: s.Domain, Slots: 4, Connections: 220,
		Queue: 16, Mean: 2 * time.Millisecond, Entries: []string{s.Listen.Calls},
	})
	if err != nil {
		return nil, err
	}
	return target, waitForCall("http://" + s.Listen.Calls + "/")
}

func put(url string, body []byte) error {
	return retry(func() error {
		req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+devOperatorKey)
		return expectOK(req)
	})
}

// waitCall returns once a call reaches the sample target.
func waitForCall(url string) error {
	return retry(func() error {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		req.Header.Set("Kumquat-Owner", devOwner)
		req.Header.Set("Kumquat-Service", devService)
		return expectOK(req)
	})
}

func expectOK(req *http.Request) error {
	client := http.Client{Transport: kqresponse.Transport{Base: http.DefaultTransport}}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", req.URL.Path, res.Status)
	}
	return nil
}

// retry repeats f until it succeeds or devStartTimeout has passed.
func retry(f func() error) error {
	until := time.Now().Add(devStartTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(until) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
