package kqscenario

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kumquatglade/internal/admin/kqcommand"
	"kumquatglade/internal/bench/kqbench"
	"kumquatglade/internal/peer/kqsocket"
	"kumquatglade/internal/run/kqmain"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	addrCount     = 16               // free addresses given to each scenario as $A0, $A1 and so on
	retryTimeout  = 40 * time.Second // far beyond any expected time: a scenario checks order, not speed
	retryInterval = 100 * time.Millisecond
	secret        = "scenario-secret"
	operatorKey   = "scenario-operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kumquatd": func() { os.Exit(kqmain.Run(os.Args[1:], os.Stdout, os.Stderr)) },
		"kumquat": func() {
			os.Exit(kqcommand.New(os.Stdout).Run(context.Background(), os.Args[1:], os.Stderr))
		},
		"kumquatbench": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			os.Exit(kqbench.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"host":   writeHost,
			"seeded": writeSeeded,
			"leader": findLeader,
			"retry":  retry,
		},
	})
}

func setup(env *testscript.Env) error {
	addrs, err := kqsocket.FreeAddrs(addrCount)
	if err != nil {
		return err
	}
	ip := scenarioIP()
	for i, a := range addrs {
		env.Setenv(fmt.Sprintf("A%d", i), strings.Replace(a, "127.0.0.1", ip, 1))
	}
	env.Setenv("KUMQUAT_OPERATOR", operatorKey)
	return nil
}

var scenarios atomic.Uint32 // that were started by this process

// scenarioIP returns an address of its own for each scenario of each process: on a shared
// one, another test or an outgoing connection may take a port before the host listens on it.
func scenarioIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 80+scenarios.Add(1), pid>>8&0xff, pid&0xff)
}

// writeHost writes the settings NAME.json of one host:
//
//	host NAME DOMAIN ROLES CALLS ADMIN PEERS CONTROL=PEERS...
//
// ROLES is entry, control, or both with a comma.
func writeHost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 7 {
		ts.Fatalf("usage: host NAME DOMAIN ROLES CALLS ADMIN PEERS CONTROL=PEERS...")
	}
	var control []string
	for _, c := range args[6:] {
		name, peers, _ := strings.Cut(c, "=")
		control = append(control, fmt.Sprintf(`{"host": %q, "domain": "d-%s", "peers": %q}`, name, name, peers))
	}
	roles := `"` + strings.ReplaceAll(args[2], ",", `", "`) + `"`
	text := fmt.Sprintf(`{
 "host": %q, "domain": %q, "region": "local", "roles": [%s], "data": %q,
 "listen": {"calls": %q, "admin": %q, "peers": %q},
 "control": [%s],
 "secret": %q, "operator": %q,
 "log": {"level": "info", "path": %q}
}
`, args[0], args[1], roles, ts.MkAbs("data-"+args[0]), args[3], args[4], args[5],
		strings.Join(control, ", "), secret, operatorKey, ts.MkAbs(args[0]+".log"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".json"), []byte(text), 0o600))
}

// writeSeeded writes the settings NAME.json of one host that finds the control hosts c1 to
// c3 by seeds:
//
//	seeded NAME IP ROLE
func writeSeeded(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: seeded NAME IP ROLE")
	}
	at := func(n int) string {
		_, port, _ := strings.Cut(ts.Getenv(fmt.Sprint("A", n)), ":")
		return args[1] + ":" + port
	}
	listen, seeds := "", ""
	if args[2] == "control" { // operators ask the control hosts
		ts.Setenv("KUMQUAT_SERVER", strings.TrimPrefix(ts.Getenv("KUMQUAT_SERVER")+","+at(1), ","))
	}
	if args[2] == "entry" {
		ts.Setenv("ENTRY", at(1))
		listen = fmt.Sprintf(`"calls": %q, "ready": %q, "directory": %q, `, at(0), at(3), at(5))
	} else {
		listen = fmt.Sprintf(`"control": %q, `, at(4))
	}
	for i := range 3 {
		seeds += fmt.Sprintf(`, "%s%d:1"`, seededNet, i+1)
	}
	text := fmt.Sprintf(`{
 "host": %q, "label": %q, "domain": "d-a", "region": "local", "roles": [%q], "data": %q,
 "listen": {%s"admin": %q, "peers": %q}, "seeds": [%s], "bootstrap": true, "domains": {"d-a": "local", "d-b": "local"},
 "secret": %q, "operator": %q, "log": {"level": "info", "path": %q}
}
`, args[1], args[0], args[2], ts.MkAbs("data-"+args[0]), listen, at(1), at(2), seeds[2:], secret, operatorKey, ts.MkAbs(args[0]+".log"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".json"), []byte(text), 0o600))
}

// seededNet is the beginning of the addresses of the control hosts with seeds.
const seededNet = "127.0.75."

// findLeader waits until a control host with seeds leads, and sets the variable LEADER to
// its name:
//
//	leader
func findLeader(ts *testscript.TestScript, neg bool, _ []string) {
	if neg {
		ts.Fatalf("usage: leader")
	}
	retry(ts, false, []string{"leader", "kumquat", "status"})
	found := regexp.MustCompile(`(?m)^` + seededNet + `(\d) .*leader`).FindStringSubmatch(ts.ReadFile("stdout"))
	ts.Setenv("LEADER", "c"+found[1])
}

// retry repeats a command until it succeeds and its output matches an expression:
//
//	retry EXPRESSION COMMAND ARGS...
//
// With ! it repeats until the output does not match.
func retry(ts *testscript.TestScript, neg bool, args []string) {
	deadline := time.Now().Add(retryTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		found := regexp.MustCompile("(?m)" + args[0]).MatchString(out)
		if neg && err == nil && !found || !neg && found {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("never: %v; last output:\n%s", args, out)
		}
		time.Sleep(retryInterval)
	}
}
